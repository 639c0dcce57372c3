package router

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/guavastall/guavastall/pkg/checker"
)

// Table is an immutable routing table.
type Table struct {
	self       checker.NodeID
	dataCentre checker.DataCentre
	region     checker.Region
	splitter   Splitter
	services   map[checker.Service]*service
	entries    []*entry
	// out holds the data centres out of service. Pick asserts that it selects
	// no endpoint in them.
	out     []checker.DataCentre
	ignored int
	loads   atomic.Pointer[binding]
}

// service is a service with resolved references.
type service struct {
	profile *checker.Profile
	split   Split
	routes  []route
	pools   map[checker.Version]*pool
}

// route is a route with the pools of the old and the new version. A pool is nil
// if there is no such version or the route does not allow it.
type route struct {
	*checker.Route
	old, new *pool
}

// pool holds the usable endpoints of one version.
type pool struct {
	version checker.Version
	// groups holds the groups that a call may use, nearest first.
	groups []*group
	// owners holds the endpoints that may own a key.
	owners []*entry
	self   *entry
	// dataCentreOut says that endpoints were excluded because their data centre
	// is out of service.
	dataCentreOut bool
}

// group holds the usable endpoints of a pool in one data centre.
type group struct {
	dataCentre checker.DataCentre
	distance   int
	hash       uint64
	entries    []*entry
	ramp       ramp
}

// The distances of a data centre, in increasing order.
const (
	ownDataCentre = iota
	ownRegion
	otherRegion
	distanceCount
)

// ramp describes the gradual return of traffic to a data centre.
type ramp struct {
	since time.Time
	time  time.Duration
}

// at returns the share of its normal traffic that the data centre gets.
func (ra ramp) at(now time.Time) float64 {
	if ra.since.IsZero() || ra.time <= 0 {
		return 1
	}
	return min(max(float64(now.Sub(ra.since))/float64(ra.time), 0), 1)
}

// entry is a usable endpoint.
type entry struct {
	Endpoint
	index   int
	hash    uint64
	group   *group
	initial float64
	slots   float64
}

// NewTable builds a table. It returns an error if a reference cannot be
// resolved. Endpoints of services that are not in the configuration are ignored
// rather than rejected, because targets announce themselves; Ignored returns
// their number.
func NewTable(cf Config) (*Table, error) {
	if cf.Document == nil {
		return nil, errors.New("routing table has no configuration document")
	}
	ta := &Table{
		self: cf.Self, dataCentre: cf.DataCentre, region: cf.Region, splitter: cf.Splitter,
		services: make(map[checker.Service]*service, len(cf.Document.Services)),
	}
	for dc, mk := range cf.Marks {
		if mk.Out {
			ta.out = append(ta.out, dc)
		}
	}
	endpoints := ta.endpointsByService(cf)
	for name, ch := range cf.Document.Services {
		sv, err := ta.service(cf, name, ch, endpoints[name])
		if err != nil {
			return nil, fmt.Errorf("service %q: %w", name, err)
		}
		ta.services[name] = sv
	}
	for name := range cf.Splits {
		if _, ok := ta.services[name]; !ok {
			return nil, fmt.Errorf("split of service %q, which the configuration lacks", name)
		}
	}
	return ta, nil
}

// Ignored returns the number of endpoints whose service is not in the
// configuration.
func (ta *Table) Ignored() int { return ta.ignored }

// endpointsByService returns the endpoints of each service, ordered by node. If
// a node has several endpoints, it keeps the one that started last.
func (ta *Table) endpointsByService(cf Config) map[checker.Service][]Endpoint {
	sorted := slices.Clone(cf.Endpoints)
	slices.SortStableFunc(sorted, func(ea, eb Endpoint) int {
		return cmp.Or(ea.Node.Compare(eb.Node), eb.Started.Compare(ea.Started))
	})
	sorted = slices.CompactFunc(sorted, func(ea, eb Endpoint) bool { return ea.Node == eb.Node })
	endpoints := map[checker.Service][]Endpoint{}
	for _, en := range sorted {
		if _, ok := cf.Document.Services[en.Service]; !ok {
			ta.ignored++
			continue
		}
		endpoints[en.Service] = append(endpoints[en.Service], en)
	}
	return endpoints
}

func (ta *Table) service(
	cf Config, name checker.Service, ch checker.Choice, endpoints []Endpoint,
) (*service, error) {
	pr, ok := cf.Document.Profiles[ch.Profile]
	if !ok {
		return nil, fmt.Errorf("profile %q does not exist", ch.Profile)
	}
	sv := &service{profile: &pr, split: cf.Splits[name], pools: map[checker.Version]*pool{}}
	if sv.split.Old == "" {
		sv.split.Old = ch.Version
	}
	if err := ta.validateSplit(sv.split); err != nil {
		return nil, err
	}
	for _, version := range []checker.Version{sv.split.Old, sv.split.New} {
		if version != "" && sv.pools[version] == nil {
			sv.pools[version] = ta.pool(cf, &pr, version, endpoints)
		}
	}
	for nn := range ch.Routes {
		ro := route{Route: &ch.Routes[nn]}
		if allows(ro.Route, sv.split.Old) {
			ro.old = sv.pools[sv.split.Old]
		}
		if sv.split.New != sv.split.Old && allows(ro.Route, sv.split.New) {
			ro.new = sv.pools[sv.split.New]
		}
		sv.routes = append(sv.routes, ro)
	}
	return sv, nil
}

func (ta *Table) validateSplit(sp Split) error {
	switch {
	case !(sp.Share >= 0 && sp.Share <= 1):
		return fmt.Errorf("share %v of version %q is not between 0 and 1", sp.Share, sp.New)
	case sp.Share > 0 && sp.New == "":
		return fmt.Errorf("share %v is for a new version, but there is none", sp.Share)
	case sp.Share > 0 && sp.Share < 1 && ta.splitter == nil:
		return fmt.Errorf("share %v of version %q has no splitter", sp.Share, sp.New)
	}
	return nil
}

func allows(ro *checker.Route, version checker.Version) bool {
	return len(ro.Versions) == 0 || slices.Contains(ro.Versions, version)
}

// pool builds the pool of the usable endpoints of a version.
func (ta *Table) pool(
	cf Config, pr *checker.Profile, version checker.Version, endpoints []Endpoint,
) *pool {
	po := &pool{version: version}
	avoidFailing := enoughHealthy(endpoints, version, pr.Routing.HealthyFloor)
	groups := map[checker.DataCentre]*group{}
	hasLocal := false
	for _, en := range endpoints {
		hasLocal = hasLocal || en.DataCentre == ta.dataCentre
		if !en.serves(version) {
			continue
		}
		if cf.Marks[en.DataCentre].Out {
			po.dataCentreOut = true
			continue
		}
		ey := ta.entry(en, pr)
		// A suspect endpoint can still own keys: if ownership changed with each
		// suspicion, a resend could reach a node that does not know the key.
		if !avoidFailing || !en.Dead {
			po.owners = append(po.owners, ey)
		}
		gr := groups[en.DataCentre]
		if gr == nil {
			gr = ta.group(cf, pr, en)
			groups[en.DataCentre] = gr
			po.groups = append(po.groups, gr)
		}
		ey.group = gr
		if avoidFailing && en.failing() {
			continue
		}
		gr.entries = append(gr.entries, ey)
		if en.Node == ta.self {
			po.self = ey
		}
	}
	localOnly := !pr.DataCentres.Spill && hasLocal
	po.groups = slices.DeleteFunc(po.groups, func(gr *group) bool {
		return len(gr.entries) == 0 || localOnly && gr.distance != ownDataCentre
	})
	slices.SortStableFunc(po.groups, func(ga, gb *group) int {
		return cmp.Compare(ga.distance, gb.distance)
	})
	return po
}

// serves reports whether the endpoint accepts calls for the version.
func (en *Endpoint) serves(version checker.Version) bool {
	return en.Version == version && !en.Draining
}

// failing reports whether the endpoint's node is suspect or dead.
func (en *Endpoint) failing() bool { return en.Suspect || en.Dead }

// enoughHealthy reports whether the share of healthy endpoints of the version is
// high enough to exclude the failing ones. If all endpoints are suspect,
// excluding them would leave none.
func enoughHealthy(endpoints []Endpoint, version checker.Version, floor float64) bool {
	healthy, all := 0, 0
	for _, en := range endpoints {
		if !en.serves(version) {
			continue
		}
		all++
		if !en.failing() {
			healthy++
		}
	}
	return healthy > 0 && float64(healthy) >= floor*float64(all)
}

func (ta *Table) group(cf Config, pr *checker.Profile, en Endpoint) *group {
	gr := &group{
		dataCentre: en.DataCentre, distance: otherRegion,
		hash: splitMix64(xxhash.Sum64String(string(en.DataCentre))),
		ramp: ramp{
			since: cf.Marks[en.DataCentre].Since,
			time:  time.Duration(pr.DataCentres.ReturnTime),
		},
	}
	switch {
	case en.DataCentre == ta.dataCentre:
		gr.distance = ownDataCentre
	case en.Region == ta.region:
		gr.distance = ownRegion
	}
	return gr
}

func (ta *Table) entry(en Endpoint, pr *checker.Profile) *entry {
	addr := en.Node.Addr().As16()
	port := en.Node.Port()
	data := append(addr[:], byte(port>>8), byte(port))
	slots := max(en.Slots, 1)
	if en.Connections > 0 {
		slots = min(slots, en.Connections)
	}
	if pr.Limits.MaxConcurrency > 0 {
		slots = min(slots, pr.Limits.MaxConcurrency)
	}
	ey := &entry{
		Endpoint: en, index: len(ta.entries), hash: splitMix64(xxhash.Sum64(data)),
		slots: float64(slots), initial: float64(min(max(pr.Limits.InitialConcurrency, 1), slots)),
	}
	ta.entries = append(ta.entries, ey)
	return ey
}
