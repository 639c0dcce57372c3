package rehearser

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/guavastall/guavastall/pkg/checker"
)

// Class is a class of rollouts whose scenarios differ by seed.
type Class struct {
	Name string
	// Bad says that the new version should be rolled back.
	Bad  bool
	vary func(rd *rand.Rand, sc *Scenario)
}

// Names of classes for which tests set separate limits.
const (
	FailsOutright     = "fails outright"
	FailsAtLowTraffic = "fails, low traffic"
	WithinLimits      = "good, within its limits"
)

// Classes returns the classes of rollouts to measure.
func Classes() []Class {
	return []Class{
		{"good", false, func(*rand.Rand, *Scenario) {}},
		{"good, cold start", false, coldStart},
		{"good, data centre trouble", false, disturb},
		{"good, pauses of targets", false, func(_ *rand.Rand, sc *Scenario) {
			sc.Pauses = &Pauses{Every: 5 * time.Minute, Targets: 2, Errors: 0.05, Latency: 10}
		}},
		{"good, low traffic", false, lowTraffic},
		{WithinLimits, false, withinLimits},
		{FailsOutright, true, func(_ *rand.Rand, sc *Scenario) { sc.Fault = &Fault{Errors: 1} }},
		{"fails mostly", true, func(rd *rand.Rand, sc *Scenario) {
			sc.Fault = &Fault{Errors: uniform(rd, 0.3, 0.9)}
		}},
		{"fails later", true, func(rd *rand.Rand, sc *Scenario) {
			sc.Fault = &Fault{Errors: uniform(rd, 0.2, 1), From: seconds(uniform(rd, 30, 200))}
		}},
		{"fails under load", true, func(rd *rand.Rand, sc *Scenario) {
			share := [...]float64{0.2, 0.85}[rd.IntN(2)]
			sc.Fault = &Fault{Errors: uniform(rd, 0.1, 0.6), MinShare: share}
		}},
		{"fails on one route", true, func(rd *rand.Rand, sc *Scenario) {
			route := sc.Routes[rd.IntN(len(sc.Routes))].Name
			sc.Fault = &Fault{Errors: uniform(rd, 0.3, 1), Route: route}
		}},
		{"slow only (2x)", true, func(_ *rand.Rand, sc *Scenario) {
			sc.Fault = &Fault{Latency: 2}
		}},
		{FailsAtLowTraffic, true, func(rd *rand.Rand, sc *Scenario) {
			lowTraffic(rd, sc)
			sc.Fault = &Fault{Errors: 1}
		}},
	}
}

func coldStart(rd *rand.Rand, sc *Scenario) {
	sc.Cold = &Cold{
		For: seconds(uniform(rd, 10, 60)), Errors: 0.2, Latency: 5, Unmarked: 0.02,
	}
}

func disturb(rd *rand.Rand, sc *Scenario) {
	sc.Disturbance = &Disturbance{
		Site: sc.Sites[rd.IntN(len(sc.Sites))].Name,
		From: seconds(uniform(rd, 5, 300)), For: seconds(uniform(rd, 20, 120)),
		Errors: uniform(rd, 0.05, 0.9), Latency: uniform(rd, 1, 4),
	}
}

// withinLimits makes the new version worse, but by no more than the rollout
// tolerates: half of maxErrorIncrease and half of the increase up to
// maxLatencyFactor.
func withinLimits(rd *rand.Rand, sc *Scenario) {
	maxLatency := 1 + (sc.Rollout.MaxLatencyFactor-1)/2
	sc.Fault = &Fault{Errors: sc.Rollout.MaxErrorIncrease / 2, Latency: uniform(rd, 1, maxLatency)}
}

// lowTraffic scales the rate of the service down to 1 to 60 calls per hour.
func lowTraffic(rd *rand.Rand, sc *Scenario) {
	rate, total := uniform(rd, 1, 60)/3600, 0.0
	for _, si := range sc.Sites {
		total += si.Rate
	}
	for nn := range sc.Sites {
		sc.Sites[nn].Rate *= rate / total
	}
	sc.Deadline = 4 * time.Hour
}

func uniform(rd *rand.Rand, low, high float64) float64 { return low + (high-low)*rd.Float64() }

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

// endpoints holds the numbers of endpoints per data centre of the services of the
// deployments, and fullSize those of a service at the design size.
var (
	endpoints = [...][]float64{{2, 2, 2}, {2, 2, 1}, {2, 2, 2, 1}, {2, 1, 1, 1}}
	fullSize  = []float64{2, 2, 1, 1, 1, 1, 1, 1, 2}
)

// Rates in calls per second: 100 to 900 for each service of the deployments, and
// 56,000 over 65 services at the design size.
const (
	minRate, maxRate = 100, 900
	fullRate         = 56_000.0 / 65
)

// Scenario returns the rollout for the seed. One in eight is at the design size,
// the others are at the sizes of the deployments.
func (cl Class) Scenario(seed uint64) Scenario {
	rd := rand.New(rand.NewPCG(seed, 7))
	counts, rate := endpoints[seed%uint64(len(endpoints))], uniform(rd, minRate, maxRate)
	if seed%8 == 7 {
		counts, rate = fullSize, fullRate
	}
	sc := Scenario{
		Seed: seed, Move: checker.MoveID(seed + 1), Rollout: DefaultRollout(),
		Deadline: 30 * time.Minute,
	}
	sum := 0.0
	for _, count := range counts {
		sum += count
	}
	for nn, count := range counts {
		name := checker.DataCentre(fmt.Sprintf("dc%d", nn))
		sc.Sites = append(sc.Sites, Site{Name: name, Rate: rate * count / sum})
	}
	for nn, weight := range []float64{0.7, 0.2, 0.1} {
		sc.Routes = append(sc.Routes, Route{
			Name: fmt.Sprintf("route%d", nn), Weight: weight, Errors: uniform(rd, 0, 0.003),
			Median: []time.Duration{5, 20, 80}[nn] * time.Millisecond,
			Sigma:  uniform(rd, 0.3, 0.6),
		})
	}
	cl.vary(rd, &sc)
	return sc
}

// DefaultRollout returns the steps and limits that scenarios use.
func DefaultRollout() checker.Rollout {
	return checker.Rollout{
		Steps: []float64{0.005, 0.05, 0.25, 1}, StepTime: checker.Duration(10 * time.Second),
		MinCalls: 50, MaxErrorIncrease: 0.01, MaxLatencyFactor: 2,
		QuietAfter: checker.Duration(10 * time.Minute),
	}
}
