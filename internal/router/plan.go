package router

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/guavastall/guavastall/internal/answerer"
)

// Plan looks up the service, selects the first route that matches the call, and
// assigns the version. The error has kind UnknownService or NoRoute.
func (ta *Table) Plan(ca Call, now time.Time) (Plan, error) {
	sv, ok := ta.services[ca.Service]
	if !ok {
		return Plan{}, answerer.New(answerer.UnknownService,
			fmt.Sprintf("service %q is not in the configuration", ca.Service))
	}
	ro := sv.match(ca)
	if ro == nil {
		return Plan{}, answerer.New(answerer.NoRoute,
			fmt.Sprintf("service %q has no route for %s %q", ca.Service, ca.Method, ca.Path))
	}
	pl := Plan{
		Service: ca.Service, Route: ro.Route, Profile: sv.profile, Move: sv.split.Move,
		Version: sv.split.Old, Owned: ro.Once != "" && ca.Key != "", table: ta, route: ro,
	}
	if pl.Owned {
		pl.keyHash = splitMix64(xxhash.Sum64String(ca.Key))
	}
	ta.assign(&pl, &sv.split, now)
	return pl, nil
}

// match returns the first route that matches the call, or nil.
func (sv *service) match(ca Call) *route {
	for nn := range sv.routes {
		ro := &sv.routes[nn]
		if strings.HasPrefix(ca.Path, ro.PathPrefix) &&
			(len(ro.Methods) == 0 || slices.Contains(ro.Methods, ca.Method)) {
			return ro
		}
	}
	return nil
}

// assign selects the version. If that version has no usable endpoint, it falls
// back to the other version of the move.
func (ta *Table) assign(pl *Plan, sp *Split, now time.Time) {
	ro := pl.route
	pl.pool = ro.old
	if ro.new.usable(pl.Owned) && ta.useNew(pl, sp, now) {
		pl.pool, pl.fallback = ro.new, ro.old
	}
	if !pl.pool.usable(pl.Owned) && ro.new.usable(pl.Owned) {
		pl.pool = ro.new
	}
	if pl.pool != nil {
		pl.Version = pl.pool.version
	}
	pl.New = pl.pool != nil && pl.pool == ro.new
}

// useNew reports whether the call uses the new version. A call with an owned key
// is assigned by the hash of the key, so that the key changes version at most
// once while the share grows.
//
// The splitter also decides at the shares 0 and 1: at 0 it admits a few probe
// calls to the new version, and at 1 it keeps a few calls on the old version
// for comparison.
func (ta *Table) useNew(pl *Plan, sp *Split, now time.Time) bool {
	switch {
	case pl.Owned:
		return uniform(splitMix64(pl.keyHash^versionSalt)) < sp.Share
	case ta.splitter == nil:
		return sp.Share >= 1
	}
	return ta.splitter.UseNew(sp.Move, sp.Share, now)
}

// versionSalt decorrelates the version of a key from its owner.
const versionSalt = 0x5851f42d4c957f2d

// dataCentreOut reports whether endpoints of the route were excluded because
// their data centre is out of service.
func (ro *route) dataCentreOut() bool {
	return ro.old != nil && ro.old.dataCentreOut || ro.new != nil && ro.new.dataCentreOut
}

// usable reports whether the pool has an endpoint for a call. The owner of a key
// may be in any data centre, because all nodes must agree on it.
func (po *pool) usable(owned bool) bool {
	return po != nil && (len(po.groups) > 0 || owned && len(po.owners) > 0)
}
