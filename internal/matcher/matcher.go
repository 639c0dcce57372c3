// Package matcher holds the mesh configuration that operators order from
// outside and selects the route of a request.
//
// A [Config] is immutable once checked. A reader keeps the one it started a
// request with.
package matcher

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Kind says what may be repeated.
type Kind uint8

// The kinds. The zero value permits the least.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
)

// Config is one version of the mesh configuration.
type Config struct {
	// Version orders configurations; a greater one replaces a smaller one.
	Version uint64
	// Routes and Services are the resources by name.
	Routes   []*Route
	Services map[string]*Service
	Limits   Limits

	byHost map[string][]*Route
}

// Route maps requests of a host below a path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout bounds the whole request.
	Timeout time.Duration
	// Objective is the latency within which a response has its full value.
	Objective time.Duration
	// Attempts bounds the targets that one request may be sent to.
	Attempts int
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	// Parts are the services that share the requests by weight. A route to a
	// single service has one part.
	Parts []Part
}

// Has reports whether the service is one of the route's parts.
func (ro *Route) Has(service string) bool {
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

// Service holds what targets of a service have in common.
type Service struct {
	Name string
	// HealthPath is the path of the targets' health check.
	HealthPath string
	// MaxConns bounds the connections to a target.
	MaxConns int
	// ColdTime is how long a target is cold after its start.
	ColdTime time.Duration
	// ColdRate is how many requests per second a cold target bears.
	ColdRate float64
}

// Limits bound what a client may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Check verifies that the configuration is whole and builds its index. A
// configuration that fails is not used in part.
func (cf *Config) Check() error {
	for name, se := range cf.Services {
		if name == "" || se.ColdRate < 0 || se.ColdTime < 0 || se.MaxConns < 0 {
			return fmt.Errorf("service %q: negative or empty value", name)
		}
	}
	index := make(map[string][]*Route, len(cf.Routes))
	for _, ro := range cf.Routes {
		if err := cf.checkRoute(ro); err != nil {
			return fmt.Errorf("route %q: %w", ro.Name, err)
		}
		for _, other := range index[ro.Host] {
			if other.Prefix == ro.Prefix {
				return fmt.Errorf("routes %q and %q have the same host and prefix",
					ro.Name, other.Name)
			}
		}
		index[ro.Host] = append(index[ro.Host], ro)
	}
	for _, routes := range index {
		slices.SortFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	cf.byHost = index
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
		return fmt.Errorf("the weights add up to %v", total)
	}
	return nil
}

// Match returns the route of the host with the longest prefix that begins the
// path, or nil.
func (cf *Config) Match(host, path string) *Route {
	for _, ro := range cf.byHost[host] {
		if strings.HasPrefix(path, ro.Prefix) {
			return ro
		}
	}
	return nil
}

// Splitter assigns the requests of a route to its parts so that every part has
// its share after any number of requests, not only on average. It is not safe
// for concurrent use.
type Splitter struct {
	routes map[string]map[string]float64
}

// Next returns the part of the next request of the route.
func (sp *Splitter) Next(ro *Route) Part {
	if len(ro.Parts) == 1 {
		return ro.Parts[0]
	}
	if sp.routes == nil {
		sp.routes = map[string]map[string]float64{}
	}
	credit := sp.routes[ro.Name]
	if credit == nil {
		credit = make(map[string]float64, len(ro.Parts))
		sp.routes[ro.Name] = credit
	}
	total := 0.0
	for _, pa := range ro.Parts {
		total += pa.Weight
	}
	best := 0
	for nn, pa := range ro.Parts {
		credit[pa.Service] += pa.Weight / total
		if credit[pa.Service] > credit[ro.Parts[best].Service] {
			best = nn
		}
	}
	credit[ro.Parts[best].Service]--
	return ro.Parts[best]
}
