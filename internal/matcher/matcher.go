// Package matcher holds the mesh configuration published by operators and matches
// requests to routes.
//
// A [Config] is immutable once checked. A request uses the same Config from start
// to end, even if a newer one takes effect meanwhile.
package matcher

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Kind is the idempotency of requests.
type Kind uint8

// Kinds of requests. The zero value is the most restrictive one.
const (
	// NonIdempotent requests must run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
)

// Config is one version of the mesh configuration.
type Config struct {
	// Version orders configurations; a higher version replaces a lower one.
	Version uint64
	// Services holds the services by name.
	Routes   []*Route
	Services map[string]*Service
	Limits   Limits
	// Warnings describe what is unusual but does not prevent the configuration from
	// being used.
	Warnings []string

	// byHost holds the routes of each host, longest prefix first.
	byHost map[string][]*Route
}

// Route maps requests with a host and path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout bounds the duration of the whole request.
	Timeout time.Duration
	// Objective is the latency within which a response has its full value.
	Objective time.Duration
	// Attempts bounds the number of targets that a request may be sent to.
	Attempts int
	// Priority is the priority of the requests; 0 is the most urgent.
	Priority int
	// Parts lists the services that share the requests by weight. A route to a
	// single service has one part.
	Parts []Part
}

// HasService reports whether the service is one of the route's parts.
func (ro *Route) HasService(service string) bool {
	for _, pa := range ro.Parts {
		if pa.Service == service {
			return true
		}
	}
	return false
}

// Part is one service's share of a route.
type Part struct {
	Service string
	Weight  float64
}

// Service holds the settings that apply to all targets of a service.
type Service struct {
	Name string
	// HealthPath is the path of the targets' health check.
	HealthPath string
	// MaxConns bounds the number of connections to a target.
	MaxConns int
	// ColdTime is the time for which a target is cold after its start.
	ColdTime time.Duration
	// ColdRate is the number of requests per second that a cold target can handle.
	ColdRate float64
}

// Limits bounds the requests and connections of clients.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Check validates the configuration and builds its index. A configuration that
// fails the check must not be used.
func (cf *Config) Check() error {
	for name, se := range cf.Services {
		if name == "" || se.ColdRate < 0 || se.ColdTime < 0 || se.MaxConns < 0 {
			return fmt.Errorf("service %q: the name is empty or a value is negative", name)
		}
	}
	byHost := make(map[string][]*Route, len(cf.Routes))
	for _, ro := range cf.Routes {
		if err := cf.checkRoute(ro); err != nil {
			return fmt.Errorf("route %q: %w", ro.Name, err)
		}
		for _, other := range byHost[ro.Host] {
			if other.Prefix == ro.Prefix {
				return fmt.Errorf("routes %q and %q have the same host and prefix",
					ro.Name, other.Name)
			}
		}
		byHost[ro.Host] = append(byHost[ro.Host], ro)
	}
	for _, routes := range byHost {
		slices.SortFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	cf.byHost = byHost
	return nil
}

func (cf *Config) checkRoute(ro *Route) error {
	if !strings.HasPrefix(ro.Prefix, "/") || !strings.HasSuffix(ro.Prefix, "/") {
		return fmt.Errorf("prefix %q does not begin and end with a slash", ro.Prefix)
	}
	if ro.Timeout <= 0 || ro.Attempts < 1 || ro.Priority < 0 || ro.Objective < 0 {
		return fmt.Errorf("timeout %s, attempts %d, priority %d, objective %s out of range",
			ro.Timeout, ro.Attempts, ro.Priority, ro.Objective)
	}
	if len(ro.Parts) == 0 {
		return fmt.Errorf("no service")
	}
	total := 0.0
	for _, pa := range ro.Parts {
		if _, ok := cf.Services[pa.Service]; !ok {
			return fmt.Errorf("service %q does not exist", pa.Service)
		}
		if pa.Weight < 0 {
			return fmt.Errorf("weight %v of service %q is negative", pa.Weight, pa.Service)
		}
		total += pa.Weight
	}
	if total <= 0 {
		return fmt.Errorf("sum of the weights is %v, not positive", total)
	}
	return nil
}

// Match returns the route of the host with the longest prefix of the path, or nil
// if no route matches.
func (cf *Config) Match(host, path string) *Route {
	for _, ro := range cf.byHost[host] {
		if strings.HasPrefix(path, ro.Prefix) {
			return ro
		}
	}
	return nil
}

// Splitter distributes the requests of a route over its parts by smooth weighted
// round robin, so that every part has its share after any number of requests and
// not only on average. A route begins at a random point of its turn: many nodes
// that each send few requests would otherwise all prefer the same part. It is not
// safe for concurrent use.
type Splitter struct {
	random *rand.Rand
	// routes holds the credit of each service by route and service.
	routes map[string]map[string]float64
}

// NewSplitter returns a Splitter that draws the first turns from random.
func NewSplitter(random *rand.Rand) *Splitter {
	return &Splitter{random: random, routes: map[string]map[string]float64{}}
}

// Next returns the part that serves the next request of the route.
func (sp *Splitter) Next(ro *Route) Part {
	if len(ro.Parts) == 1 {
		return ro.Parts[0]
	}
	credits := sp.routes[ro.Name]
	if credits == nil {
		credits = make(map[string]float64, len(ro.Parts))
		sp.routes[ro.Name] = credits
		for range sp.random.IntN(maxFirstTurn) {
			advance(ro, credits)
		}
	}
	return advance(ro, credits)
}

// maxFirstTurn is the number of turns from which the first one of a route is
// drawn. It exceeds the period of weights that are given in per cent.
const maxFirstTurn = 1000

// advance takes the next turn and returns the part whose turn it is.
func advance(ro *Route, credits map[string]float64) Part {
	total := 0.0
	for _, pa := range ro.Parts {
		total += pa.Weight
	}
	best := 0
	for nn, pa := range ro.Parts {
		credits[pa.Service] += pa.Weight / total
		if credits[pa.Service] > credits[ro.Parts[best].Service] {
			best = nn
		}
	}
	credits[ro.Parts[best].Service]--
	return ro.Parts[best]
}
