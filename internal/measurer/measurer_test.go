package measurer_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavastall/guavastall/internal/measurer"
	"github.com/guavastall/guavastall/internal/targetserver"
	"github.com/guavastall/guavastall/pkg/checker"
)

var (
	measures = flag.Bool("measures", false, "run the measurements with real processes")
	parts    = flag.String("parts", "added,slopes,yaadgar,magnolia,rollouts", "parts of the measurements to run")
	sizes    = flag.String("sizes", "10,25,50,100,200", "numbers of nodes for the part slopes")
	seed     = flag.Uint64("seed", 1, "seed of the measurer's random choices")
	folder   = flag.String("folder", filepath.Join("..", "..", "measures"), "folder for reports")
)

// measureTime is the length of an idle or load measurement. Processor time is
// reported in steps of 10 ms, so it resolves 0.1% of a core for one node.
const measureTime = 10 * time.Second

// Guards against measurements that omit a node, are empty, or report a change as
// applied too early.
func TestSmoke(t *testing.T) {
	fl := newFleet(t)
	doc := document(t, "yaadgar.json")
	for nn, dc := range []checker.DataCentre{"lahore", "multan", "sialkot"} {
		at := netip.AddrPort{}
		service := checker.Service("")
		if nn == 0 {
			at, service = fl.target("v1", 20, time.Millisecond), "tag"
		}
		fl.add(dc, service, "v1", 20, at)
	}
	me, _ := fl.measure("smoke", doc)
	ctx, cancel := context.WithTimeout(t.Context(), startTime)
	defer cancel()
	us, err := me.MeasureIdle(ctx, time.Second)
	require.NoError(t, err)
	require.Equal(t, 3, us.Nodes)
	require.Positive(t, us.BytesPerSecond)
	require.Positive(t, us.RSS)
	require.Zero(t, us.Violations)
	times, err := me.Converge(ctx, 2, 0)
	require.NoError(t, err)
	require.Equal(t, 2, times.Count)
	require.Positive(t, times.Median)
	paths, err := measurer.CompareLatency(ctx, fl.paths(), "tag", 20, time.Second)
	require.NoError(t, err)
	require.Positive(t, paths[0].Latency.Count)
	for _, pa := range paths {
		require.LessOrEqual(t, pa.Latency.Count+pa.Failed, 20)
	}
	rs, err := me.Restart(ctx, 0.7)
	require.NoError(t, err)
	require.Equal(t, 2, rs.Killed)
	// All nodes may serve the configuration from their peers before any reads the
	// log, so the log may get no request while Restart observes it.
	require.Eventually(t, func() bool {
		stats, err := me.LogStats(ctx)
		return err == nil && stats.Peak > 0 && stats.Peak >= rs.LogPeak
	}, startTime, 50*time.Millisecond)
}

// Guards against quantiles off by one and against a wrong regression line.
func TestSummaries(t *testing.T) {
	times := measurer.NewTimes([]time.Duration{3, 1, 2})
	require.Equal(t, measurer.Times{Count: 3, Median: 2, P99: 3, Worst: 3}, times)
	require.Zero(t, measurer.NewTimes(nil))
	list := []measurer.Size{{Nodes: 10}, {Nodes: 20}, {Nodes: 40}}
	line := measurer.Fit(list, func(si measurer.Size) float64 {
		return 5 + 2*float64(si.Nodes)
	}, false)
	require.InDelta(t, 205, line.At(100), 1e-6)
	line = measurer.Fit(list, func(si measurer.Size) float64 {
		return 5 + 2*math.Log(float64(si.Nodes))
	}, true)
	require.InDelta(t, 5+2*math.Log(100), line.At(100), 1e-6)
	require.InDelta(t, 1, line.RSquared, 1e-6)
}

// paths returns the paths to the target of the first node: direct, through that
// node, and through the second node and the first.
func (fl *fleet) paths() []measurer.Path {
	return []measurer.Path{
		{Name: "direct", At: fl.nodes[0].Target},
		{Name: "one node", At: fl.nodes[0].Callers},
		{Name: "two nodes", At: fl.nodes[1].Callers},
	}
}

// TestMeasures runs and prints the measurements if the flag -measures is set.
func TestMeasures(t *testing.T) {
	if !*measures {
		t.Skip("run with -measures")
	}
	re := &measurer.Report{Seed: *seed, Revision: revision()}
	defer func() { save(t, re) }()
	for _, part := range strings.Split(*parts, ",") {
		switch part {
		case "added":
			t.Run(part, func(t *testing.T) { added(t, re) })
		case "yaadgar":
			t.Run(part, func(t *testing.T) { re.Deployments = append(re.Deployments, yaadgar(t)) })
		case "magnolia":
			t.Run(part, func(t *testing.T) { re.Deployments = append(re.Deployments, magnolia(t)) })
		case "slopes":
			slopes(t, re)
		case "rollouts":
			t.Run(part, func(t *testing.T) { rollouts(t, re) })
		default:
			require.Fail(t, "unknown part", part)
		}
	}
}

// save prints the report and writes it as JSON.
func save(t *testing.T, re *measurer.Report) {
	t.Log("\n" + re.Text())
	data, err := json.MarshalIndent(re, "", "  ")
	require.NoError(t, err)
	require.NoError(t, os.MkdirAll(*folder, 0o755))
	name := fmt.Sprintf("report-%s.json", time.Now().UTC().Format("150405"))
	require.NoError(t, os.WriteFile(filepath.Join(*folder, name), data, 0o644))
}

// added measures the added latency and the cost per call with one target and two
// nodes.
func added(t *testing.T, re *measurer.Report) {
	fl := newFleet(t)
	fl.add("lahore", "tag", "v1", 20, fl.target("v1", 20, time.Millisecond))
	fl.add("lahore", "", "", 0, netip.AddrPort{})
	me, _ := fl.measure("added", document(t, "yaadgar.json"))
	ctx := t.Context()
	// Lets the concurrency limit of the target's node rise from its low initial value.
	_, err := me.Load(ctx, "warm", "tag", 300, 5*time.Second)
	require.NoError(t, err)
	re.Added, err = measurer.CompareLatency(ctx, fl.paths(), "tag", 200, 15*time.Second)
	require.NoError(t, err)
	re.Roles, err = me.Roles(ctx, "tag", 300, 50, measureTime)
	require.NoError(t, err)
	t.Logf("%+v %+v", re.Added, re.Roles)
}

// service is a service of a deployment and its number of endpoints.
type service struct {
	name      checker.Service
	endpoints int
}

func yaadgar(t *testing.T) measurer.DeploymentReport {
	return deployment(t, "yaadgar", []checker.DataCentre{"lahore", "multan", "sialkot"},
		[]service{{"tag", 6}, {"grove", 5}}, 20)
}

func magnolia(t *testing.T) measurer.DeploymentReport {
	return deployment(t, "magnolia", []checker.DataCentre{"austin", "dallas", "tulsa", "omaha"},
		[]service{{"letters", 7}, {"replies", 5}}, 10)
}

// callsPerNode is the rate per node at the design size: 56,000 calls/s on 750 nodes.
const callsPerNode = 75

func deployment(
	t *testing.T, name string, dcs []checker.DataCentre, services []service, slots int,
) measurer.DeploymentReport {
	fl := newFleet(t)
	for _, sv := range services {
		for range sv.endpoints {
			fl.add(dcs[len(fl.nodes)%len(dcs)], sv.name, "v1", slots,
				fl.target("v1", slots, 2*time.Millisecond))
		}
	}
	me, settled := fl.measure(name, document(t, name+".json"))
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Minute)
	defer cancel()
	dr := measurer.DeploymentReport{Name: name, Nodes: len(fl.nodes), Settled: settled}
	var err error
	dr.Rest, err = me.MeasureIdle(ctx, measureTime)
	require.NoError(t, err)
	dr.Changes, err = me.Measure(ctx, func() error {
		var err error
		dr.Convergence, err = me.Converge(ctx, 25, 200*time.Millisecond)
		return err
	})
	require.NoError(t, err)
	called := services[0].name
	_, err = me.Load(ctx, "warm", called, 100, 3*time.Second)
	require.NoError(t, err)
	dr.LoadRate = float64(callsPerNode * len(fl.nodes))
	dr.Load, err = me.Measure(ctx, func() error {
		re, err := me.Load(ctx, "load", called, dr.LoadRate, measureTime)
		if err == nil {
			dr.LoadGood = float64(re.Good) / float64(re.Due)
		}
		return err
	})
	require.NoError(t, err)
	dr.Centre, err = me.MoveDataCentre(ctx, dcs[1], called, 300, 30*time.Second)
	require.NoError(t, err)
	require.NoError(t, os.MkdirAll(*folder, 0o755))
	require.NoError(t, dr.Centre.Plot(filepath.Join(*folder, name+"-move.svg")))
	return dr
}

// slopes measures deployments of increasing size, and then one with the number of
// services of the design size.
func slopes(t *testing.T, re *measurer.Report) {
	var counts []int
	for _, text := range strings.Split(*sizes, ",") {
		count, err := strconv.Atoi(text)
		require.NoError(t, err)
		counts = append(counts, count)
	}
	for _, count := range counts {
		t.Run(fmt.Sprintf("nodes%d", count), func(t *testing.T) {
			re.Slopes = append(re.Slopes, size(t, count, document(t, "yaadgar.json")))
		})
	}
	if slices.Contains(counts, 25) {
		t.Run("services65", func(t *testing.T) {
			doc := document(t, "yaadgar.json")
			for nn := len(doc.Services); nn < 65; nn++ {
				doc.Services[checker.Service(fmt.Sprintf("tag%d", nn))] = doc.Services["tag"]
			}
			re.Slopes = append(re.Slopes, size(t, 25, doc))
		})
	}
}

func size(t *testing.T, count int, doc *checker.Document) measurer.Size {
	fl := newFleet(t)
	// All nodes share a few targets, because they are measured without calls.
	targets := []netip.AddrPort{}
	for range 4 {
		targets = append(targets, fl.target("v1", 20, time.Millisecond))
	}
	for nn := range count {
		dc := checker.DataCentre(fmt.Sprintf("dc%d", nn%3))
		fl.add(dc, "tag", "v1", 20, targets[nn%len(targets)])
		fl.awaitWave()
	}
	me, settled := fl.measure("slope", doc)
	ctx, cancel := context.WithTimeout(t.Context(), 4*time.Minute)
	defer cancel()
	si := measurer.Size{Nodes: count, Services: len(doc.Services), Settled: settled}
	var err error
	si.Rest, err = me.MeasureIdle(ctx, measureTime)
	require.NoError(t, err)
	began := time.Now()
	changes, err := me.Measure(ctx, func() error {
		var err error
		si.Convergence, err = me.Converge(ctx, 20, 100*time.Millisecond)
		return err
	})
	require.NoError(t, err)
	span := time.Since(began).Seconds()
	si.BytesPerChange = (changes.BytesPerSecond - si.Rest.BytesPerSecond) * span /
		float64(si.Convergence.Count)
	si.Restart, err = me.Restart(ctx, 0.8)
	require.NoError(t, err)
	t.Logf("%+v", si)
	return si
}

// rollouts moves a service to good and to failing versions, with short rollout steps
// to limit the duration of the test.
func rollouts(t *testing.T, re *measurer.Report) {
	fl := newFleet(t)
	byVersion := map[checker.Version][]*measurer.Node{}
	for _, version := range []checker.Version{"v1", "v2"} {
		for _, dc := range []checker.DataCentre{"lahore", "multan", "sialkot"} {
			at := fl.target(string(version), 20, 2*time.Millisecond)
			no := fl.add(dc, "tag", string(version), 20, at)
			byVersion[version] = append(byVersion[version], no)
		}
	}
	doc := document(t, "yaadgar.json")
	for name, pr := range doc.Profiles {
		// With a first step of 0.005, it took over 40 s until one data centre had the
		// 20 calls of MinCalls.
		pr.Rollout.Steps = []float64{0.05, 0.25, 1}
		pr.Rollout.StepTime, pr.Rollout.MinCalls = checker.Duration(2*time.Second), 20
		doc.Profiles[name] = pr
	}
	me, _ := fl.measure("rollouts", doc)
	ctx, cancel := context.WithTimeout(t.Context(), 6*time.Minute)
	defer cancel()
	for nn, to := range []checker.Version{"v2", "v1", "v2", "v2", "v2"} {
		bad := nn >= 2
		if bad {
			fault := []targetserver.Fault{{Kind: targetserver.FaultError}}
			require.NoError(t, me.SetFaults(ctx, byVersion[to], fault))
		}
		ro, err := me.RollOut(ctx, "tag", to, 300, 75*time.Second)
		require.NoError(t, err)
		ro.Bad = bad
		if bad {
			require.NotEqual(t, "done", ro.Phase, "a failing version was rolled out: %+v", ro)
		}
		re.Rollouts = append(re.Rollouts, ro)
		t.Logf("%+v", ro)
	}
}
