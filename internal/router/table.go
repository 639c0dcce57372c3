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
	// out holds the data centres taken out; Pick asserts that it avoids them.
	out     []checker.DataCentre
	ignored int
	bound   atomic.Pointer[binding]
}

// service is a service with its references resolved.
type service struct {
	profile *checker.Profile
	split   Split
	routes  []route
	pools   map[checker.Version]*pool
}

// route is a route with the pools of the versions that it allows. A pool is
// nil if the route does not allow the version or no endpoint has it.
type route struct {
	*checker.Route
	old, new *pool
}

// pool holds the usable endpoints of one version.
type pool struct {
	version checker.Version
	// groups holds the groups that a call may reach, the nearest ring first.
	groups []*group
	// owners holds the candidates for the owner of a key.
	owners []*entry
	self   *entry
	// out says that endpoints are missing because their data centre is out.
	out bool
}

// group holds the usable endpoints of a pool in one data centre.
type group struct {
	dataCentre checker.DataCentre
	ring       int
	hash       uint64
	entries    []*entry
	ramp       ramp
}

// The rings of data centres by distance.
const (
	ownDataCentre = iota
	ownRegion
	otherRegion
	ringCount
)

// ramp is the return of a data centre.
type ramp struct {
	since time.Time
	time  time.Duration
}

// at returns the share of its usual traffic that the data centre gets.
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

// NewTable builds the table. It fails if a reference does not resolve.
// Endpoints of services that the configuration lacks are ignored, because
// targets announce themselves; Ignored counts them.
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
	known := ta.known(cf)
	for name, ch := range cf.Document.Services {
		sv, err := ta.service(cf, name, ch, known[name])
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

// Ignored returns the number of endpoints whose service the configuration lacks.
func (ta *Table) Ignored() int { return ta.ignored }

// known returns the endpoints of each service in the order of their nodes. Of
// two entries for a node it keeps the one that started last.
func (ta *Table) known(cf Config) map[checker.Service][]Endpoint {
	sorted := slices.Clone(cf.Endpoints)
	slices.SortStableFunc(sorted, func(ea, eb Endpoint) int {
		return cmp.Or(ea.Node.Compare(eb.Node), eb.Started.Compare(ea.Started))
	})
	sorted = slices.CompactFunc(sorted, func(ea, eb Endpoint) bool { return ea.Node == eb.Node })
	known := map[checker.Service][]Endpoint{}
	for _, en := range sorted {
		if _, ok := cf.Document.Services[en.Service]; !ok {
			ta.ignored++
			continue
		}
		known[en.Service] = append(known[en.Service], en)
	}
	return known
}

func (ta *Table) service(
	cf Config, name checker.Service, ch checker.Choice, known []Endpoint,
) (*service, error) {
	pr, ok := cf.Document.Profiles[ch.Profile]
	if !ok {
		return nil, fmt.Errorf("profile %q does not exist", ch.Profile)
	}
	sv := &service{profile: &pr, split: cf.Splits[name], pools: map[checker.Version]*pool{}}
	if sv.split.Old == "" {
		sv.split.Old = ch.Version
	}
	if err := ta.checkSplit(sv.split); err != nil {
		return nil, err
	}
	for _, version := range []checker.Version{sv.split.Old, sv.split.New} {
		if version != "" && sv.pools[version] == nil {
			sv.pools[version] = ta.pool(cf, &pr, version, known)
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

func (ta *Table) checkSplit(sp Split) error {
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

// pool gathers the usable endpoints of a version.
func (ta *Table) pool(
	cf Config, pr *checker.Profile, version checker.Version, known []Endpoint,
) *pool {
	po := &pool{version: version}
	trusted := trustSuspicion(known, version, pr.Routing.HealthyFloor)
	groups := map[checker.DataCentre]*group{}
	local := false
	for _, en := range known {
		local = local || en.DataCentre == ta.dataCentre
		if !en.serves(version) {
			continue
		}
		if cf.Marks[en.DataCentre].Out {
			po.out = true
			continue
		}
		ey := ta.entry(en, pr)
		// A suspect stays a candidate owner: if ownership moved with each
		// suspicion, a resend could reach a node that does not know its key.
		if !trusted || !en.Dead {
			po.owners = append(po.owners, ey)
		}
		gr := groups[en.DataCentre]
		if gr == nil {
			gr = ta.group(cf, pr, en)
			groups[en.DataCentre] = gr
			po.groups = append(po.groups, gr)
		}
		ey.group = gr
		if trusted && en.failing() {
			continue
		}
		gr.entries = append(gr.entries, ey)
		if en.Node == ta.self {
			po.self = ey
		}
	}
	bound := !pr.DataCentres.Spill && local
	po.groups = slices.DeleteFunc(po.groups, func(gr *group) bool {
		return len(gr.entries) == 0 || bound && gr.ring != ownDataCentre
	})
	slices.SortStableFunc(po.groups, func(ga, gb *group) int {
		return cmp.Compare(ga.ring, gb.ring)
	})
	return po
}

// serves reports whether the endpoint takes calls for the version.
func (en *Endpoint) serves(version checker.Version) bool {
	return en.Version == version && !en.Draining
}

// failing reports whether the endpoint's node is suspect or dead.
func (en *Endpoint) failing() bool { return en.Suspect || en.Dead }

// trustSuspicion reports whether the share of healthy endpoints of the version
// is high enough to believe reports of failure. If all are suspect, nothing is
// gained by believing them.
func trustSuspicion(known []Endpoint, version checker.Version, floor float64) bool {
	healthy, all := 0, 0
	for _, en := range known {
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
		dataCentre: en.DataCentre, ring: otherRegion,
		hash: mix(xxhash.Sum64String(string(en.DataCentre))),
		ramp: ramp{
			since: cf.Marks[en.DataCentre].Since,
			time:  time.Duration(pr.DataCentres.ReturnTime),
		},
	}
	switch {
	case en.DataCentre == ta.dataCentre:
		gr.ring = ownDataCentre
	case en.Region == ta.region:
		gr.ring = ownRegion
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
		Endpoint: en, index: len(ta.entries), hash: mix(xxhash.Sum64(data)),
		slots: float64(slots), initial: float64(min(max(pr.Limits.InitialConcurrency, 1), slots)),
	}
	ta.entries = append(ta.entries, ey)
	return ey
}
