package router

import (
	"flag"
	"fmt"
	"math"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/guavastall/guavastall/internal/answerer"
	"github.com/guavastall/guavastall/internal/asserter"
	"github.com/guavastall/guavastall/pkg/checker"
)

// init sets a fixed seed for the property tests; -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

func testDocument(routes ...checker.Route) *checker.Document {
	if routes == nil {
		routes = []checker.Route{{Name: "all", PathPrefix: "/"}}
	}
	return &checker.Document{
		Profiles: map[string]checker.Profile{"steady": {
			Routing:     checker.Routing{LocalShare: 0.8, HealthyFloor: 0.5},
			Limits:      checker.Limits{InitialConcurrency: 2},
			DataCentres: checker.DataCentres{ReturnTime: checker.Duration(30 * time.Second), Spill: true},
		}},
		Services: map[checker.Service]checker.Choice{"tag": {Profile: "steady", Version: "v1", Routes: routes}},
	}
}

// endpoints returns one endpoint per version, assigned round robin to the data
// centres a, b and c.
func endpoints(versions ...checker.Version) []Endpoint {
	var list []Endpoint
	for nn, version := range versions {
		list = append(list, Endpoint{
			Node: node(nn), DataCentre: dataCentre(nn % 3), Region: region(nn % 3),
			Service: "tag", Version: version, Slots: 10, Connections: 130,
		})
	}
	return list
}

// alternate is a Splitter that assigns every second call to the new version, or
// none at share 0 and all at share 1.
type alternate struct{ calls int }

func (al *alternate) UseNew(_ checker.MoveID, share float64, _ time.Time) bool {
	if share <= 0 || share >= 1 {
		return share >= 1
	}
	al.calls++
	return al.calls%2 == 0
}

func mustTable(tb require.TestingT, cf Config) *Table {
	if cf.Document == nil {
		cf.Document = testDocument()
	}
	if cf.DataCentre == "" {
		cf.Self, cf.DataCentre, cf.Region = node(900), "a", "x"
	}
	ta, err := NewTable(cf)
	require.NoError(tb, err)
	return ta
}

// counts routes calls and counts the picked endpoints by the result of by.
func counts(tb require.TestingT, ta *Table, ca Call, calls int, now time.Time, by func(Endpoint) string) map[string]int {
	return countWith(tb, ta, ca, calls, now, by, NewLoads(1))
}

func countWith(tb require.TestingT, ta *Table, ca Call, calls int, now time.Time, by func(Endpoint) string, loads *Loads) map[string]int {
	got := map[string]int{}
	for nn := range calls {
		if ca.Key != "" {
			ca.Key = fmt.Sprint("key", nn)
		}
		pl, err := ta.Plan(ca, now)
		require.NoError(tb, err)
		en, err := ta.Pick(pl, nil, loads, now)
		require.NoError(tb, err)
		got[by(en)]++
	}
	return got
}

func byDataCentre(en Endpoint) string { return string(en.DataCentre) }
func byVersion(en Endpoint) string    { return string(en.Version) }
func byNode(en Endpoint) string       { return en.Node.String() }

// Guards against accepting a configuration with unresolved references.
func TestNewTableRefuses(t *testing.T) {
	orphan := testDocument()
	orphan.Services["grove"] = checker.Choice{Profile: "fast"}
	for _, tt := range []struct {
		name, want string
		give       Config
	}{
		{"no document", "no configuration document", Config{}},
		{"profile", `profile "fast" does not exist`, Config{Document: orphan}},
		{"split of nothing", "which the configuration lacks", Config{Document: testDocument(), Splits: map[checker.Service]Split{"grove": {}}}},
		{"share of nothing", "there is none", Config{Document: testDocument(), Splits: map[checker.Service]Split{"tag": {Share: 0.5}}}},
		{"no splitter", "no splitter", Config{Document: testDocument(), Splits: map[checker.Service]Split{"tag": {New: "v2", Share: 0.5}}}},
		{"not a share", "not between 0 and 1", Config{Document: testDocument(), Splits: map[checker.Service]Split{"tag": {New: "v2", Share: math.NaN()}}}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			_, err := NewTable(tt.give)
			require.ErrorContains(t, err, tt.want)
		})
	}
	unknown := endpoints("v1")
	unknown[0].Service = "unknown"
	require.Equal(t, 1, mustTable(t, Config{Endpoints: unknown}).Ignored())
}

// Guards against traffic to a data centre that is out of service, a return to
// service without a ramp, and calls that leave a data centre with free capacity.
func TestDataCentres(t *testing.T) {
	list := endpoints("v1", "v1", "v1", "v1", "v1", "v1")
	ca := Call{Service: "tag", Path: "/"}
	require.Equal(t, map[string]int{"a": 100}, counts(t, mustTable(t, Config{Endpoints: list}), ca, 100, epoch, byDataCentre))
	out := mustTable(t, Config{Endpoints: list, Marks: map[checker.DataCentre]Mark{"a": {Out: true}}})
	require.Equal(t, map[string]int{"b": 100}, counts(t, out, ca, 100, epoch, byDataCentre), "b shares the region of a")
	for _, key := range []string{"", "key"} {
		ca := Call{Service: "tag", Path: "/", Key: key}
		once := testDocument(checker.Route{PathPrefix: "/", Once: checker.OnceMemory})
		back := mustTable(t, Config{
			Self: node(0), DataCentre: "a", Region: "x", Document: once, Endpoints: list, Marks: map[checker.DataCentre]Mark{"a": {Since: epoch}},
		})
		full := counts(t, back, ca, 3000, epoch.Add(30*time.Second), byDataCentre)["a"]
		for _, share := range []float64{0, 0.1, 0.5} {
			at := epoch.Add(time.Duration(30 * share * float64(time.Second)))
			require.InDelta(t, share*float64(full), counts(t, back, ca, 3000, at, byDataCentre)["a"], 100)
		}
	}
	bound := testDocument()
	pr := bound.Profiles["steady"]
	pr.DataCentres.Spill = false
	bound.Profiles["steady"] = pr
	out = mustTable(t, Config{Document: bound, Endpoints: list, Marks: map[checker.DataCentre]Mark{"a": {Out: true}}})
	pl, err := out.Plan(ca, epoch)
	require.NoError(t, err)
	_, err = out.Pick(pl, nil, NewLoads(1), epoch)
	require.Equal(t, answerer.DataCentreOut, answerer.KindOf(err))
}

// Guards against calls that stay in a full data centre, and calls that spill to
// another one while the first has free capacity.
func TestSpill(t *testing.T) {
	list := endpoints("v1", "v1", "v1")
	ta := mustTable(t, Config{Endpoints: list})
	loads := NewLoads(1)
	pl, err := ta.Plan(Call{Service: "tag", Path: "/"}, epoch)
	require.NoError(t, err)
	for _, tt := range []struct {
		busy [3]int
		want checker.DataCentre
	}{{[3]int{7, 0, 0}, "a"}, {[3]int{8, 0, 0}, "b"}, {[3]int{8, 8, 0}, "c"}, {[3]int{8, 8, 8}, "a"}, {[3]int{10, 9, 8}, "b"}} {
		for nn, busy := range tt.busy {
			loads.Observe(node(nn), Report{InFlight: busy, Limit: 10}, epoch)
			loads.Observe(node(nn), Report{InFlight: busy, Limit: 10, Latency: time.Second}, epoch)
		}
		en, err := ta.Pick(pl, nil, loads, epoch)
		require.NoError(t, err)
		require.Equal(t, tt.want, en.DataCentre, "busy %v", tt.busy)
	}
}

// Guards against a cold endpoint that every node prefers because it looks empty,
// and slow or rejecting endpoints that keep their share of the calls.
func TestChoice(t *testing.T) {
	for _, tt := range []struct {
		name      string
		ra, rb    Report
		low, high int
	}{
		{"equal", Report{InFlight: 5, Limit: 10}, Report{InFlight: 5, Limit: 10}, 250, 750},
		{"cold looks empty", Report{InFlight: 5, Limit: 10}, Report{Limit: 10, Cold: true}, 450, 550},
		{"smaller", Report{InFlight: 5, Limit: 10}, Report{InFlight: 1, Limit: 2}, 0, 100},
		{"slower", Report{InFlight: 5, Limit: 10, Latency: time.Second}, Report{InFlight: 4, Limit: 10, Latency: 5 * time.Second}, 200, 300},
		{"refuses", Report{InFlight: 5, Limit: 10}, Report{InFlight: 4, Limit: 10, Rejected: true}, 50, 200},
	} {
		t.Run(tt.name, func(t *testing.T) {
			loads := NewLoads(1)
			loads.Observe(node(0), tt.ra, epoch)
			loads.Observe(node(3), tt.rb, epoch)
			list := endpoints("v1", "v1", "v1", "v1")
			ta := mustTable(t, Config{Endpoints: []Endpoint{list[0], list[3]}})
			got := countWith(t, ta, Call{Service: "tag", Path: "/"}, 1000, epoch, byNode, loads)[node(3).String()]
			require.True(t, got >= tt.low && got <= tt.high, "%d of 1000", got)
		})
	}
	loads := NewLoads(1)
	for _, tt := range []struct {
		rejected bool
		want     int64
	}{{true, 5}, {false, 4}} { // the report excludes a rejected call but includes a finished one
		loads.Begin(node(0), epoch)
		loads.End(node(0), Report{InFlight: 5, Limit: 5, Rejected: tt.rejected}, epoch)
		require.Equal(t, tt.want, loads.node(node(0)).others.Load())
	}
}

// Guards against excluding suspect endpoints when too few are healthy, and
// against not excluding them otherwise.
func TestHealthyFloor(t *testing.T) {
	ca := Call{Service: "tag", Path: "/"}
	for suspects, want := range []int{4, 3, 2, 4, 4} {
		list := endpoints("v1", "v1", "v1", "v1")
		for nn := range list {
			list[nn].DataCentre = "a"
			list[nn].Suspect = nn < suspects
		}
		require.Len(t, counts(t, mustTable(t, Config{Endpoints: list}), ca, 200, epoch, byNode), want, "%d suspects", suspects)
	}
}

// Guards against a split that deviates from its share, a key whose version or
// owner changes unnecessarily, and a new version that gets calls at share 0.
func TestVersionsAndKeys(t *testing.T) {
	list := endpoints("v1", "v2", "v1", "v2", "v1", "v2", "v1", "v2")
	once := testDocument(checker.Route{PathPrefix: "/", Once: checker.OnceLog})
	table := func(share float64, list []Endpoint) *Table {
		return mustTable(t, Config{
			Document: once, Endpoints: list, Splitter: &alternate{},
			Splits: map[checker.Service]Split{"tag": {Move: 1, Old: "v1", New: "v2", Share: share}},
		})
	}
	free, keyed := Call{Service: "tag", Path: "/"}, Call{Service: "tag", Path: "/", Key: "key"}
	require.Equal(t, map[string]int{"v1": 500, "v2": 500}, counts(t, table(0.3, list), free, 1000, epoch, byVersion))
	require.Equal(t, map[string]int{"v1": 1000}, counts(t, table(0, list), free, 1000, epoch, byVersion))
	require.Equal(t, map[string]int{"v2": 1000}, counts(t, table(1, list), free, 1000, epoch, byVersion))
	require.InDelta(t, 600, counts(t, table(0.3, list), keyed, 2000, epoch, byVersion)["v2"], 60)
	require.Equal(t, map[string]int{"v1": 9}, counts(t, table(1, list[:1]), free, 9, epoch, byVersion), "v2 has no endpoint")
	require.Equal(t, map[string]int{"v2": 9}, counts(t, table(0, list[1:2]), free, 9, epoch, byVersion), "v1 has no endpoint")

	owner := func(ta *Table, key string, loads *Loads) Endpoint {
		pl, err := ta.Plan(Call{Service: "tag", Path: "/", Key: key}, epoch)
		require.NoError(t, err)
		en, err := ta.Pick(pl, nil, loads, epoch)
		require.NoError(t, err)
		return en
	}
	moved := 0
	suspect := slices.Clone(list)
	suspect[0].Suspect = true
	for nn := range 1000 {
		key := fmt.Sprint(nn)
		low, high := owner(table(0.3, list), key, NewLoads(1)), owner(table(0.6, list), key, NewLoads(2))
		if low != high {
			require.Equal(t, checker.Version("v1"), low.Version, "a key moves to the new version only")
			moved++
		}
		left := owner(table(0.3, list[1:]), key, NewLoads(3))
		require.True(t, left == low || low.Node == node(0), "only the keys of the node that left move")
		require.Equal(t, low.Node, owner(table(0.3, suspect), key, NewLoads(4)).Node)
	}
	require.InDelta(t, 300, moved, 60)
}

// Guards against data races between calls, load reports and the first pick of a
// new table.
func TestConcurrentUse(t *testing.T) {
	before := asserter.Violations()
	loads := NewLoads(1)
	var current atomic.Pointer[Table]
	var wg sync.WaitGroup
	for nn := range 8 {
		current.Store(mustTable(t, Config{Endpoints: endpoints("v1", "v1", "v1", "v1")}))
		wg.Go(func() {
			for range 500 {
				if nn == 0 {
					current.Store(mustTable(t, Config{Endpoints: endpoints("v1", "v1", "v1")}))
				}
				pl, err := current.Load().Plan(Call{Service: "tag", Path: "/"}, epoch)
				require.NoError(t, err)
				en, err := current.Load().Pick(pl, nil, loads, epoch)
				require.NoError(t, err)
				loads.Begin(en.Node, epoch)
				loads.Observe(en.Node, Report{InFlight: 2, Limit: 3}, epoch)
				loads.End(en.Node, Report{Latency: time.Millisecond, Rejected: nn%2 == 0}, epoch)
			}
		})
	}
	wg.Wait()
	for _, ld := range loads.nodes {
		require.Zero(t, ld.outstanding.Load())
	}
	require.Equal(t, before, asserter.Violations())
}

// naive is the reference model. It derives the endpoints allowed for a call
// directly from the configuration.
type naive struct {
	Config
	call Call
}

func (na *naive) route() *checker.Route {
	for _, ro := range na.Document.Services["tag"].Routes {
		if strings.HasPrefix(na.call.Path, ro.PathPrefix) && (len(ro.Methods) == 0 || slices.Contains(ro.Methods, na.call.Method)) {
			return &ro
		}
	}
	return nil
}

// allowed returns the endpoints of the version that the call may use.
func (na *naive) allowed(version checker.Version) []Endpoint {
	ro := na.route()
	if version == "" || len(ro.Versions) > 0 && !slices.Contains(ro.Versions, version) {
		return nil
	}
	pr := na.Document.Profiles["steady"]
	owned := ro.Once != "" && na.call.Key != ""
	var healthy, all, here int
	for _, en := range na.Endpoints {
		if en.DataCentre == na.DataCentre {
			here++
		}
		if en.Version == version && !en.Draining {
			all++
			if !en.Suspect {
				healthy++
			}
		}
	}
	var list []Endpoint
	for _, en := range na.Endpoints {
		distrusted := en.Suspect && healthy > 0 && float64(healthy) >= pr.Routing.HealthyFloor*float64(all)
		tooFar := !pr.DataCentres.Spill && here > 0 && en.DataCentre != na.DataCentre
		if en.Version != version || en.Draining || na.Marks[en.DataCentre].Out || !owned && (distrusted || tooFar) {
			continue
		}
		list = append(list, en)
	}
	return list
}

// Guards, over random configurations and loads, against a pick that the
// configuration forbids, a wrong fallback, an endpoint tried twice, an owner
// that differs between nodes, and a wrong error kind.
func TestMatchesNaive(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		before := asserter.Violations()
		na := genNaive(rt)
		ta, loads := mustTable(rt, na.Config), NewLoads(rapid.Uint64().Draw(rt, "seed"))
		remoteConfig := na.Config
		remoteConfig.Self, remoteConfig.DataCentre, remoteConfig.Region = node(901), "c", "y"
		remote := mustTable(rt, remoteConfig)
		now := epoch.Add(time.Duration(rapid.IntRange(0, 40).Draw(rt, "now")) * time.Second)
		pl, err := ta.Plan(na.call, now)
		ro := na.route()
		if ro == nil {
			require.Equal(rt, answerer.NoRoute, answerer.KindOf(err))
			return
		}
		require.NoError(rt, err)
		require.Equal(rt, ro, pl.Route)
		sp := na.Splits["tag"]
		old, fresh := na.allowed(sp.Old), na.allowed(sp.New)
		first, second := old, []Endpoint(nil)
		if len(fresh) > 0 && (pl.New || len(old) == 0) {
			require.True(rt, sp.Share > 0 || len(old) == 0)
			first, second = fresh, old
		}
		if len(first) > 0 {
			require.Equal(rt, first[0].Version, pl.Version)
		}
		var tried []checker.NodeID
		for range len(first) + len(second) {
			en, err := ta.Pick(pl, tried, loads, now)
			require.NoError(rt, err)
			if len(tried) < len(first) {
				require.Contains(rt, first, en)
			} else {
				require.Contains(rt, second, en)
			}
			require.NotContains(rt, tried, en.Node)
			if pl.Owned {
				elsewhere, err := remote.Plan(na.call, now)
				require.NoError(rt, err)
				owner, err := remote.Pick(elsewhere, tried, NewLoads(9), now)
				require.NoError(rt, err)
				require.Equal(rt, owner, en)
			}
			loads.Begin(en.Node, now)
			loads.End(en.Node, Report{
				InFlight: rapid.IntRange(0, 20).Draw(rt, "inFlight"), Limit: rapid.IntRange(0, 20).Draw(rt, "limit"),
				Cold: rapid.Bool().Draw(rt, "cold"), Rejected: rapid.Bool().Draw(rt, "rejected"),
				Failed: rapid.Bool().Draw(rt, "failed"), Latency: time.Duration(rapid.IntRange(0, 1e9).Draw(rt, "latency")),
			}, now)
			tried = append(tried, en.Node)
		}
		_, err = ta.Pick(pl, tried, loads, now)
		out := slices.ContainsFunc(na.Endpoints, func(en Endpoint) bool {
			return !en.Draining && na.Marks[en.DataCentre].Out && (en.Version == sp.Old || en.Version == sp.New) &&
				(len(ro.Versions) == 0 || slices.Contains(ro.Versions, en.Version))
		})
		want := answerer.NoTarget
		if len(tried) == 0 && out {
			want = answerer.DataCentreOut
		}
		require.Equal(rt, want, answerer.KindOf(err))
		require.Equal(rt, before, asserter.Violations())
	})
}

func genNaive(rt *rapid.T) *naive {
	versions := []checker.Version{"v1", "v2", "v3"}
	var routes []checker.Route
	for range rapid.IntRange(1, 3).Draw(rt, "routes") {
		routes = append(routes, checker.Route{
			Name: fmt.Sprint(len(routes)), PathPrefix: rapid.SampledFrom([]string{"/", "/a", "/a/b"}).Draw(rt, "prefix"),
			Methods:  rapid.SampledFrom([][]string{nil, {"GET"}, {"GET", "POST"}}).Draw(rt, "methods"),
			Once:     rapid.SampledFrom([]string{"", checker.OnceLog}).Draw(rt, "once"),
			Versions: rapid.SampledFrom([][]checker.Version{nil, nil, {"v1"}, {"v2", "v3"}}).Draw(rt, "allowed"),
		})
	}
	doc := testDocument(routes...)
	pr := doc.Profiles["steady"]
	pr.DataCentres.Spill = rapid.Bool().Draw(rt, "spill")
	doc.Profiles["steady"] = pr
	na := &naive{Config: Config{DataCentre: "a", Document: doc, Splitter: &alternate{}, Marks: map[checker.DataCentre]Mark{}}}
	for nn := range rapid.IntRange(0, 8).Draw(rt, "endpoints") {
		dc := rapid.IntRange(0, 2).Draw(rt, "dc")
		na.Endpoints = append(na.Endpoints, Endpoint{
			Node: node(nn), DataCentre: dataCentre(dc), Region: region(dc), Service: "tag",
			Version: rapid.SampledFrom(versions).Draw(rt, "version"), Slots: rapid.IntRange(0, 30).Draw(rt, "slots"),
			Draining: rapid.IntRange(0, 3).Draw(rt, "draining") == 0, Suspect: rapid.IntRange(0, 2).Draw(rt, "suspect") == 0,
		})
	}
	for dc := range 3 {
		na.Marks[dataCentre(dc)] = rapid.SampledFrom([]Mark{{}, {}, {Out: true, Since: epoch}, {Since: epoch}}).Draw(rt, "mark")
	}
	na.Splits = map[checker.Service]Split{"tag": {
		Old: "v1", New: rapid.SampledFrom([]checker.Version{"v1", "v2"}).Draw(rt, "new"),
		Share: rapid.SampledFrom([]float64{0, 0.3, 1}).Draw(rt, "share"),
	}}
	na.call = Call{
		Service: "tag", Path: rapid.SampledFrom([]string{"/", "/a", "/a/b/c", "", "/ab"}).Draw(rt, "path"),
		Method: rapid.SampledFrom([]string{"GET", "POST", "PUT"}).Draw(rt, "method"),
		Key:    rapid.SampledFrom([]string{"", "k1", "k2"}).Draw(rt, "key"),
	}
	return na
}

// recordShares is a Splitter that records the shares it is called with.
type recordShares struct{ shares []float64 }

func (rs *recordShares) UseNew(_ checker.MoveID, share float64, _ time.Time) bool {
	rs.shares = append(rs.shares, share)
	return false
}

// Guards against a router that does not call the Splitter at the shares 0 and 1.
// The new version would then get no probe calls at share 0, and the old version
// no calls for comparison at share 1.
func TestSplitterDecidesAtShares0And1(t *testing.T) {
	for _, share := range []float64{0, 0.5, 1} {
		rs := &recordShares{}
		ta := mustTable(t, Config{
			Endpoints: endpoints("v1", "v2"), Splitter: rs,
			Splits: map[checker.Service]Split{"tag": {Move: 1, Old: "v1", New: "v2", Share: share}},
		})
		pl, err := ta.Plan(Call{Service: "tag", Method: "GET", Path: "/scan"}, time.Time{})
		require.NoError(t, err)
		require.Equal(t, checker.Version("v1"), pl.Version)
		require.Equal(t, []float64{share}, rs.shares)
	}
}

// Guards against keys that stay with a dead owner, so that their calls fail
// until the node is removed from the membership, and against owners that change
// when a node is only suspect.
func TestOwnerMovesWhenDead(t *testing.T) {
	doc := testDocument()
	co := doc.Services["tag"]
	co.Routes = []checker.Route{{Name: "confirm", PathPrefix: "/", Once: checker.OnceMemory}}
	doc.Services["tag"] = co
	list := endpoints("v1", "v1", "v1")
	owner := func() checker.NodeID {
		ta := mustTable(t, Config{Document: doc, Endpoints: list})
		pl, err := ta.Plan(Call{Service: "tag", Method: "POST", Path: "/confirm", Key: "k"}, time.Time{})
		require.NoError(t, err)
		en, err := ta.Pick(pl, nil, NewLoads(1), time.Unix(1000, 0))
		require.NoError(t, err)
		return en.Node
	}
	first := owner()
	for nn := range list {
		if list[nn].Node == first {
			list[nn].Suspect = true
			require.Equal(t, first, owner())
			list[nn].Dead = true
		}
	}
	require.NotEqual(t, first, owner())
}
