package router

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/guavastall/guavastall/internal/answerer"
)

// Plan matches the service and the route of the call, the first match in
// order, and assigns the version. The error has kind UnknownService or NoRoute.
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
		pl.keyHash = mix(xxhash.Sum64String(ca.Key))
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

// assign chooses the version. A version without a usable endpoint is replaced
// by the other one of the move.
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

// useNew reports whether the call goes to the new version. A key decides by
// its hash, so that a key moves at most once while the share grows.
//
// The splitter is asked at the shares 0 and 1 too: at 0 it lets a few probes
// through, and at 1 it keeps a few calls on the old version for comparison.
func (ta *Table) useNew(pl *Plan, sp *Split, now time.Time) bool {
	switch {
	case pl.Owned:
		return unit(mix(pl.keyHash^versionSalt)) < sp.Share
	case ta.splitter == nil:
		return sp.Share >= 1
	}
	return ta.splitter.UseNew(sp.Move, sp.Share, now)
}

// versionSalt makes the version of a key independent of its owner.
const versionSalt = 0x5851f42d4c957f2d

// out reports whether the route lacks endpoints because data centres are out.
func (ro *route) out() bool {
	return ro.old != nil && ro.old.out || ro.new != nil && ro.new.out
}

// usable reports whether the pool has an endpoint for a call. The owner of a key
// may be in any data centre, because it must be the same from everywhere.
func (po *pool) usable(owned bool) bool {
	return po != nil && (len(po.groups) > 0 || owned && len(po.owners) > 0)
}
