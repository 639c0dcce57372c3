package router

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavastall/guavastall/pkg/checker"
)

// designSizeTable returns a table of the design size: 65 services and 750 endpoints.
func designSizeTable(tb testing.TB, spread int) (*Table, []Call) {
	doc := testDocument()
	choice := doc.Services["tag"]
	doc.Services = map[checker.Service]checker.Choice{}
	var calls []Call
	var list []Endpoint
	for nn := range 65 {
		name := checker.Service(fmt.Sprintf("service%d", nn))
		doc.Services[name] = choice
		calls = append(calls, Call{Service: name, Method: "GET", Path: "/tags/1"})
	}
	for nn := range 750 {
		dc := nn % 9
		list = append(list, Endpoint{
			Node: node(nn), DataCentre: dataCentre(dc), Region: region(dc), Service: calls[nn%spread].Service,
			Version: "v1", Slots: 20, Connections: 130,
		})
	}
	ta, err := NewTable(Config{Self: node(900), DataCentre: "a", Region: "x", Document: doc, Endpoints: list})
	require.NoError(tb, err)
	return ta, calls[:spread]
}

func BenchmarkPlanPick(b *testing.B) {
	for _, spread := range []int{65, 1} {
		ta, calls := designSizeTable(b, spread)
		b.Run(fmt.Sprintf("%d services", spread), func(b *testing.B) {
			loads := NewLoads(1)
			now := time.Now()
			var next atomic.Int64
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					ca := calls[int(next.Add(1))%len(calls)]
					pl, err := ta.Plan(ca, now)
					if err != nil {
						b.Error(err)
					}
					en, err := ta.Pick(pl, nil, loads, now)
					if err != nil {
						b.Error(err)
					}
					loads.Begin(en.Node, now)
					loads.End(en.Node, Report{InFlight: 1, Limit: 20, Latency: time.Millisecond}, now)
				}
			})
		})
	}
}

func BenchmarkPickOnly(b *testing.B) {
	ta, calls := designSizeTable(b, 65)
	loads := NewLoads(1)
	now := time.Now()
	b.ReportAllocs()
	for nn := 0; b.Loop(); nn++ {
		pl, _ := ta.Plan(calls[nn%65], now)
		_, _ = ta.Pick(pl, nil, loads, now)
	}
}

func BenchmarkNewTable(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		designSizeTable(b, 65)
	}
}
