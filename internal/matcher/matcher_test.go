package matcher

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func config(routes ...*Route) *Config {
	return &Config{
		Routes: routes,
		Services: map[string]*Service{
			"desk": {Name: "desk"}, "ledger": {Name: "ledger"},
		},
	}
}

func route(name, host, prefix string, parts ...Part) *Route {
	if len(parts) == 0 {
		parts = []Part{{"desk", 1}}
	}
	return &Route{
		Name: name, Host: host, Prefix: prefix, Timeout: time.Second, Attempts: 1, Parts: parts,
	}
}

func TestMatchLongestPrefix(t *testing.T) {
	cf := config(route("short", "a", "/"), route("long", "a", "/x/y/"), route("mid", "a", "/x/"),
		route("other", "b", "/x/"))
	require.NoError(t, cf.Check())
	for _, tc := range []struct{ host, path, want string }{
		{"a", "/x/y/z", "long"},
		{"a", "/x/y", "mid"},
		{"a", "/x", "short"},
		{"b", "/x/y/z", "other"},
		{"b", "/", ""},
		{"c", "/x/", ""},
	} {
		got := ""
		if ro := cf.Match(tc.host, tc.path); ro != nil {
			got = ro.Name
		}
		assert.Equal(t, tc.want, got, "%s%s", tc.host, tc.path)
	}
}

// The index returns the same route as a linear search.
func TestMatchAgainstNaive(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	pieces := []string{"a/", "b/", "ab/", "c/"}
	for range 200 {
		var routes []*Route
		seen := map[string]bool{}
		for nn := range 12 {
			prefix := "/"
			for range random.IntN(4) {
				prefix += pieces[random.IntN(len(pieces))]
			}
			if !seen[prefix] {
				seen[prefix] = true
				routes = append(routes, route(fmt.Sprint(nn), "h", prefix))
			}
		}
		cf := config(routes...)
		require.NoError(t, cf.Check())
		for range 20 {
			path := "/"
			for range random.IntN(5) {
				path += pieces[random.IntN(len(pieces))]
			}
			var best *Route
			for _, ro := range routes {
				if strings.HasPrefix(path, ro.Prefix) &&
					(best == nil || len(ro.Prefix) > len(best.Prefix)) {
					best = ro
				}
			}
			assert.Same(t, best, cf.Match("h", path), path)
		}
	}
}

func TestCheckRejects(t *testing.T) {
	bad := func(change func(*Route)) *Config {
		ro := route("r", "a", "/x/")
		change(ro)
		return config(ro)
	}
	for name, cf := range map[string]*Config{
		"prefix without slash": bad(func(ro *Route) { ro.Prefix = "/x" }),
		"no attempts":          bad(func(ro *Route) { ro.Attempts = 0 }),
		"no timeout":           bad(func(ro *Route) { ro.Timeout = 0 }),
		"unknown service":      bad(func(ro *Route) { ro.Parts = []Part{{"none", 1}} }),
		"no service":           bad(func(ro *Route) { ro.Parts = nil }),
		"negative weight":      bad(func(ro *Route) { ro.Parts = []Part{{"desk", -1}} }),
		"no weight":            bad(func(ro *Route) { ro.Parts = []Part{{"desk", 0}} }),
		"negative priority":    bad(func(ro *Route) { ro.Priority = -1 }),
		"same place":           config(route("r", "a", "/x/"), route("s", "a", "/x/")),
	} {
		assert.Error(t, cf.Check(), name)
	}
}

// Every part has its share after any number of requests, within one request.
func TestSplitterShares(t *testing.T) {
	ro := route("r", "a", "/", Part{"desk", 90}, Part{"ledger", 10})
	sp := NewSplitter(rand.New(rand.NewPCG(1, 1)))
	counts := map[string]int{}
	for nn := 1; nn <= 1000; nn++ {
		counts[sp.Next(ro).Service]++
		assert.InDelta(t, 0.1*float64(nn), counts["ledger"], 1)
	}
}

// Replays a fleet whose nodes each send few requests of a route: the parts have
// their shares in the sum over the nodes. Splitters that all begin with the same
// part send nearly every first request there.
func TestSplitterSharesOverNodes(t *testing.T) {
	ro := route("r", "a", "/", Part{"desk", 70}, Part{"ledger", 20}, Part{"new", 10})
	for _, perNode := range []int{1, 2, 5} {
		const nodes = 3000
		random := rand.New(rand.NewPCG(uint64(perNode), 1))
		counts := map[string]float64{}
		for range nodes {
			sp := NewSplitter(random)
			for range perNode {
				counts[sp.Next(ro).Service] += 1 / float64(nodes*perNode)
			}
		}
		for _, pa := range ro.Parts {
			assert.InDelta(t, pa.Weight/100, counts[pa.Service], 0.025,
				"%d requests a node: %s", perNode, pa.Service)
		}
	}
}
