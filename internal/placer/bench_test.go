package placer

import (
	"fmt"
	"testing"
	"time"

	"github.com/guavastall/guavastall/internal/admitter"
)

// BenchmarkPick measures the choice among 40 targets, with and without paces.
func BenchmarkPick(b *testing.B) {
	for _, pace := range []float64{0, 1.5} {
		b.Run(fmt.Sprint("pace=", pace), func(b *testing.B) {
			pl, now := newPlacer(), epoch
			targets := targetsOf(40)
			for nn := range targets {
				id := targets[nn].ID
				pl.Begin(id, 0)
				pl.End(id, "r", &Report{
					Running: nn % 10, Slots: 10, Work: 200 * time.Millisecond,
					Took: 200 * time.Millisecond, RunPace: pace,
					Pace: admitter.Pace{Latest: pace, Average: pace, At: now},
				}, now)
			}
			re := Request{
				DataCentre: targets[0].DataCentre, Route: "r", Objective: time.Second,
				Self: targets[3].Node,
			}
			b.ReportAllocs()
			for b.Loop() {
				pl.Pick(targets, re, now.Add(time.Millisecond))
			}
		})
	}
}
