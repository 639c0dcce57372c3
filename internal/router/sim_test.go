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

// world is a simulated service whose endpoints queue and refuse calls.
type world struct {
	endpoints                     []*server
	ingresses                     []*ingress
	ending                        []ending
	at                            time.Duration
	wait, response                *hdrhistogram.Histogram
	calls, refusals, failed, away int
	coldRefusals, coldCalls       int
}

// server is an endpoint with workers and a queue as long as its worker count.
type server struct {
	Endpoint
	slots, cold float64
	startedAt   time.Duration
	warmUp      time.Duration
	service     time.Duration
	finish      []time.Duration // of the calls in flight, ascending
}

// ingress is a node that routes; its next is the position of the baseline.
type ingress struct {
	table *Table
	loads *Loads
	next  int
}

type ending struct {
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

// offer runs a call and returns its wait, or false if it refuses it.
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

// scenario is a class of runs.
type scenario struct {
	name          string
	load          float64 // share of the slots that the calls keep busy
	coldCount     int     // endpoints that start cold
	hot           float64 // share of the calls that arrive in the first data centre
	even          bool    // equal slots and speeds
	spareNodes    int     // ingress nodes without an endpoint
	dataCentres   int
	maxWaitFactor float64 // bound on the p99 wait relative to round robin
}

func (sc scenario) world(rng *rand.Rand) (*world, float64) {
	wo := newWorld()
	rate := 0.0
	var list []Endpoint
	nodes := 12 + sc.spareNodes
	for nn := range 12 {
		sv := &server{slots: 10, service: 20 * time.Millisecond}
		if !sc.even {
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
		wo.endpoints = append(wo.endpoints, sv)
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
		wo.ingresses = append(wo.ingresses, &ingress{table: ta, loads: NewLoads(rng.Uint64()), next: rng.IntN(12)})
	}
	return wo, rate
}

func node(nn int) checker.NodeID {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(nn >> 8), byte(nn)}), 7000)
}
func dataCentre(nn int) checker.DataCentre { return checker.DataCentre('a' + rune(nn)) }
func region(nn int) checker.Region         { return checker.Region('x' + rune(nn/2)) }

// run makes calls with Poisson arrivals; robin uses the baseline.
func (wo *world) run(sc scenario, rate float64, calls int, robin bool, rng *rand.Rand) {
	for range calls {
		wo.at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		for len(wo.ending) > 0 && wo.ending[0].at <= wo.at {
			wo.end(wo.ending[0])
			wo.ending = wo.ending[1:]
		}
		nn := rng.IntN(len(wo.ingresses))
		if rng.Float64() < sc.hot {
			nn -= nn % sc.dataCentres
		}
		wo.call(wo.ingresses[nn], robin, rng.ExpFloat64())
	}
}

func (wo *world) end(en ending) {
	en.sv.finish = en.sv.finish[1:]
	re := en.sv.report(en.at)
	re.InFlight++
	re.Latency = en.lat
	en.in.loads.End(en.sv.Node, re, epoch.Add(en.at))
}

func (wo *world) call(in *ingress, robin bool, size float64) {
	wo.calls++
	now := epoch.Add(wo.at)
	pl, err := in.table.Plan(Call{Service: "tag", Path: "/"}, now)
	if err != nil {
		panic(err)
	}
	var tried []checker.NodeID
	for range 3 {
		sv := wo.endpoints[in.next%12]
		in.next++
		if !robin {
			en, err := in.table.Pick(pl, tried, in.loads, now)
			if err != nil {
				panic(err)
			}
			sv = wo.endpoints[slices.IndexFunc(wo.endpoints, func(sv *server) bool { return sv.Node == en.Node })]
		}
		if sv.cold > 0 {
			wo.coldCalls++
		}
		in.loads.Begin(sv.Node, now)
		service := time.Duration(size * float64(sv.service))
		wait, ok := sv.offer(wo.at, service)
		if ok {
			_ = wo.wait.RecordValue(wait.Microseconds())
			_ = wo.response.RecordValue((wait + service).Microseconds())
			en := ending{wo.at + wait + service, in, sv, wait + service}
			nn, _ := slices.BinarySearchFunc(wo.ending, en.at, func(en ending, at time.Duration) int {
				return cmp.Compare(en.at, at)
			})
			wo.ending = slices.Insert(wo.ending, nn, en)
			if sv.DataCentre != in.table.dataCentre {
				wo.away++
			}
			return
		}
		re := sv.report(wo.at)
		re.Rejected = true
		in.loads.End(sv.Node, re, now)
		tried = append(tried, sv.Node)
		wo.refusals++
		if sv.cold > 0 {
			wo.coldRefusals++
		}
	}
	wo.failed++
}

// Guards against routing that queues or refuses more than round robin when
// targets differ, are cold, or when the calls arrive in one data centre.
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
		{name: "one data centre calls", load: 0.5, spareNodes: 24, dataCentres: 3, hot: 0.7, maxWaitFactor: 0.5},
		{name: "equal", load: 0.7, spareNodes: 24, dataCentres: 3, even: true, maxWaitFactor: 1},
	} {
		t.Run(sc.name, func(t *testing.T) {
			t.Parallel()
			var sum [2]*world
			for robin := range 2 {
				sum[robin] = newWorld()
				for seed := range seeds {
					rng := rand.New(rand.NewPCG(3, uint64(seed)))
					wo, rate := sc.world(rng)
					wo.run(sc, rate, 3000+30*sc.spareNodes, robin == 1, rng)
					sum[robin].add(wo)
				}
			}
			ours, base := sum[0], sum[1]
			t.Logf("wait p99 %v (round robin %v), response p50 %v p99 %v (%v, %v), refusals %.2f%% (%.2f%%), failed %.3f%% (%.3f%%), "+
				"other data centre %.0f%% (%.0f%%), refused by cold %.2f%% (%.2f%%)",
				quantile(ours.wait, 99), quantile(base.wait, 99), quantile(ours.response, 50),
				quantile(ours.response, 99), quantile(base.response, 50), quantile(base.response, 99),
				percent(ours.refusals, ours.calls), percent(base.refusals, base.calls),
				percent(ours.failed, ours.calls), percent(base.failed, base.calls),
				percent(ours.away, ours.calls), percent(base.away, base.calls),
				percent(ours.coldRefusals, ours.coldCalls), percent(base.coldRefusals, base.coldCalls))
			require.LessOrEqual(t, float64(quantile(ours.wait, 99)), sc.maxWaitFactor*float64(quantile(base.wait, 99)))
			require.LessOrEqual(t, ours.refusals, max(base.refusals/5, ours.calls/2000))
		})
	}
}

func newWorld() *world {
	longest := int64(10 * time.Second / time.Microsecond)
	return &world{wait: hdrhistogram.New(1, longest, 3), response: hdrhistogram.New(1, longest, 3)}
}

func (wo *world) add(other *world) {
	wo.response.Merge(other.response)
	wo.wait.Merge(other.wait)
	wo.calls += other.calls
	wo.refusals += other.refusals
	wo.failed += other.failed
	wo.away += other.away
	wo.coldCalls += other.coldCalls
	wo.coldRefusals += other.coldRefusals
}

func quantile(hg *hdrhistogram.Histogram, qu float64) time.Duration {
	return time.Duration(hg.ValueAtQuantile(qu)) * time.Microsecond
}

func percent(part, all int) float64 { return 100 * float64(part) / float64(max(all, 1)) }
