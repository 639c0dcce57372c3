package router

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"github.com/guavastall/guavastall/internal/asserter"
	"github.com/guavastall/guavastall/pkg/checker"
)

var epoch = time.Unix(1000, 0)

// simulation simulates a service whose endpoints queue and reject calls.
type simulation struct {
	endpoints                                []*server
	ingresses                                []*ingress
	pending                                  []completion
	at                                       time.Duration
	wait, response                           *hdrhistogram.Histogram
	calls, refusals, failed, otherDataCentre int
	coldRefusals, coldCalls                  int
}

// server is a simulated endpoint whose queue holds one call per worker.
type server struct {
	Endpoint
	slots, cold float64
	startedAt   time.Duration
	warmUp      time.Duration
	service     time.Duration
	finish      []time.Duration // of the calls in flight, ascending
}

// ingress is a node that routes calls; next is its round-robin position.
type ingress struct {
	table *Table
	loads *Loads
	next  int
}

type completion struct {
	at  time.Duration
	in  *ingress
	sv  *server
	lat time.Duration
}

func (sv *server) workers(at time.Duration) int {
	if sv.cold == 0 {
		return int(sv.slots)
	}
	return int(sv.cold + (sv.slots-sv.cold)*min(1, float64(at-sv.startedAt)/float64(sv.warmUp)))
}

func (sv *server) report(at time.Duration) Report {
	return Report{InFlight: len(sv.finish), Limit: sv.workers(at), Cold: sv.workers(at) < int(sv.slots)/2}
}

// offer runs a call and returns its queueing time, or false if it rejects it.
func (sv *server) offer(at, service time.Duration) (time.Duration, bool) {
	workers := sv.workers(at)
	if len(sv.finish) >= 2*workers {
		return 0, false
	}
	start := at
	if len(sv.finish) >= workers {
		start = sv.finish[len(sv.finish)-workers]
	}
	end := start + service
	nn, _ := slices.BinarySearch(sv.finish, end)
	sv.finish = slices.Insert(sv.finish, nn, end)
	return start - at, true
}

// scenario holds the parameters of a class of simulations.
type scenario struct {
	name          string
	load          float64 // share of the slots that the calls keep busy
	coldCount     int     // endpoints that start cold
	firstShare    float64 // share of the calls that arrive in the first data centre
	equal         bool    // equal slots and speeds
	spareNodes    int     // ingress nodes without an endpoint
	dataCentres   int
	maxWaitFactor float64 // bound on the p99 wait relative to round robin
}

func (sc scenario) simulation(rng *rand.Rand) (*simulation, float64) {
	si := newSimulation()
	rate := 0.0
	var list []Endpoint
	nodes := 12 + sc.spareNodes
	for nn := range 12 {
		sv := &server{slots: 10, service: 20 * time.Millisecond}
		if !sc.equal {
			sv.slots = float64(4 + rng.IntN(17))
			sv.service = time.Duration((10 + 30*rng.Float64()) * float64(time.Millisecond))
		}
		if nn < sc.coldCount {
			sv.cold, sv.warmUp = 2, 20*time.Second
		}
		rate += sc.load * sv.slots / sv.service.Seconds()
		sv.Endpoint = Endpoint{
			Node: node(nn), DataCentre: dataCentre(nn % sc.dataCentres), Region: region(nn % sc.dataCentres),
			Service: "tag", Version: "v1", Slots: int(sv.slots), Started: epoch.Add(-time.Hour),
		}
		if sv.cold > 0 {
			sv.Started = epoch
		}
		si.endpoints = append(si.endpoints, sv)
		list = append(list, sv.Endpoint)
	}
	for nn := range nodes {
		dc := nn % sc.dataCentres
		ta, err := NewTable(Config{
			Self: node(nn), DataCentre: dataCentre(dc), Region: region(dc),
			Document: testDocument(), Endpoints: list,
		})
		if err != nil {
			panic(err)
		}
		si.ingresses = append(si.ingresses, &ingress{table: ta, loads: NewLoads(rng.Uint64()), next: rng.IntN(12)})
	}
	return si, rate
}

func node(nn int) checker.NodeID {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(nn >> 8), byte(nn)}), 7000)
}
func dataCentre(nn int) checker.DataCentre { return checker.DataCentre('a' + rune(nn)) }
func region(nn int) checker.Region         { return checker.Region('x' + rune(nn/2)) }

// run makes calls with Poisson arrivals. With roundRobin, it uses the baseline.
func (si *simulation) run(sc scenario, rate float64, calls int, roundRobin bool, rng *rand.Rand) {
	for range calls {
		si.at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		for len(si.pending) > 0 && si.pending[0].at <= si.at {
			si.end(si.pending[0])
			si.pending = si.pending[1:]
		}
		nn := rng.IntN(len(si.ingresses))
		if rng.Float64() < sc.firstShare {
			nn -= nn % sc.dataCentres
		}
		si.call(si.ingresses[nn], roundRobin, rng.ExpFloat64())
	}
}

func (si *simulation) end(co completion) {
	co.sv.finish = co.sv.finish[1:]
	re := co.sv.report(co.at)
	re.InFlight++
	re.Latency = co.lat
	co.in.loads.End(co.sv.Node, re, epoch.Add(co.at))
}

func (si *simulation) call(in *ingress, roundRobin bool, size float64) {
	si.calls++
	now := epoch.Add(si.at)
	pl, err := in.table.Plan(Call{Service: "tag", Path: "/"}, now)
	if err != nil {
		panic(err)
	}
	var tried []checker.NodeID
	for range 3 {
		sv := si.endpoints[in.next%12]
		in.next++
		if !roundRobin {
			en, err := in.table.Pick(pl, tried, in.loads, now)
			if err != nil {
				panic(err)
			}
			sv = si.endpoints[slices.IndexFunc(si.endpoints, func(sv *server) bool { return sv.Node == en.Node })]
		}
		if sv.cold > 0 {
			si.coldCalls++
		}
		in.loads.Begin(sv.Node, now)
		service := time.Duration(size * float64(sv.service))
		wait, ok := sv.offer(si.at, service)
		if ok {
			_ = si.wait.RecordValue(wait.Microseconds())
			_ = si.response.RecordValue((wait + service).Microseconds())
			co := completion{si.at + wait + service, in, sv, wait + service}
			nn, _ := slices.BinarySearchFunc(si.pending, co.at, func(en completion, at time.Duration) int {
				return cmp.Compare(en.at, at)
			})
			si.pending = slices.Insert(si.pending, nn, co)
			if sv.DataCentre != in.table.dataCentre {
				si.otherDataCentre++
			}
			return
		}
		re := sv.report(si.at)
		re.Rejected = true
		in.loads.End(sv.Node, re, now)
		tried = append(tried, sv.Node)
		si.refusals++
		if sv.cold > 0 {
			si.coldRefusals++
		}
	}
	si.failed++
}

// Guards against routing that queues or rejects more calls than round robin when
// targets differ in size, are cold, or when the calls arrive in one data centre.
func TestAgainstRoundRobin(t *testing.T) {
	seeds := 1000
	if testing.Short() {
		seeds = 10
	}
	before := asserter.Violations()
	t.Cleanup(func() { require.Equal(t, before, asserter.Violations()) })
	for _, sc := range []scenario{
		{name: "heterogeneous", load: 0.6, spareNodes: 24, dataCentres: 3, maxWaitFactor: 0.5},
		{name: "heterogeneous, one region", load: 0.6, spareNodes: 24, dataCentres: 2, maxWaitFactor: 0.5},
		{name: "heterogeneous, many nodes", load: 0.6, spareNodes: 88, dataCentres: 1, maxWaitFactor: 0.5},
		{name: "cold", load: 0.5, spareNodes: 24, dataCentres: 3, coldCount: 4, maxWaitFactor: 0.6},
		{name: "cold, many nodes", load: 0.5, spareNodes: 88, dataCentres: 3, coldCount: 4, maxWaitFactor: 0.6},
		{name: "one data centre calls", load: 0.5, spareNodes: 24, dataCentres: 3, firstShare: 0.7, maxWaitFactor: 0.5},
		{name: "equal", load: 0.7, spareNodes: 24, dataCentres: 3, equal: true, maxWaitFactor: 1},
	} {
		t.Run(sc.name, func(t *testing.T) {
			t.Parallel()
			var sum [2]*simulation
			for roundRobin := range 2 {
				sum[roundRobin] = newSimulation()
				for seed := range seeds {
					rng := rand.New(rand.NewPCG(3, uint64(seed)))
					si, rate := sc.simulation(rng)
					si.run(sc, rate, 3000+30*sc.spareNodes, roundRobin == 1, rng)
					sum[roundRobin].add(si)
				}
			}
			ours, base := sum[0], sum[1]
			t.Logf("wait p99 %v (round robin %v), response p50 %v p99 %v (%v, %v), refusals %.2f%% (%.2f%%), failed %.3f%% (%.3f%%), "+
				"other data centre %.0f%% (%.0f%%), refused by cold %.2f%% (%.2f%%)",
				quantile(ours.wait, 99), quantile(base.wait, 99), quantile(ours.response, 50),
				quantile(ours.response, 99), quantile(base.response, 50), quantile(base.response, 99),
				percent(ours.refusals, ours.calls), percent(base.refusals, base.calls),
				percent(ours.failed, ours.calls), percent(base.failed, base.calls),
				percent(ours.otherDataCentre, ours.calls), percent(base.otherDataCentre, base.calls),
				percent(ours.coldRefusals, ours.coldCalls), percent(base.coldRefusals, base.coldCalls))
			require.LessOrEqual(t, float64(quantile(ours.wait, 99)), sc.maxWaitFactor*float64(quantile(base.wait, 99)))
			require.LessOrEqual(t, ours.refusals, max(base.refusals/5, ours.calls/2000))
		})
	}
}

func newSimulation() *simulation {
	longest := int64(10 * time.Second / time.Microsecond)
	return &simulation{wait: hdrhistogram.New(1, longest, 3), response: hdrhistogram.New(1, longest, 3)}
}

func (si *simulation) add(other *simulation) {
	si.response.Merge(other.response)
	si.wait.Merge(other.wait)
	si.calls += other.calls
	si.refusals += other.refusals
	si.failed += other.failed
	si.otherDataCentre += other.otherDataCentre
	si.coldCalls += other.coldCalls
	si.coldRefusals += other.coldRefusals
}

func quantile(hg *hdrhistogram.Histogram, qu float64) time.Duration {
	return time.Duration(hg.ValueAtQuantile(qu)) * time.Microsecond
}

func percent(part, all int) float64 { return 100 * float64(part) / float64(max(all, 1)) }
