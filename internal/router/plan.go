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
func (ta *Table) Plan(ca Call, _ time.Time) (Plan, error) {
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
		Version: sv.split.Old, Owned: ro.Once != "" && ca.Key != "", table: ta, service: sv,
	}
	if pl.Owned {
		pl.keyHash = mix(xxhash.Sum64String(ca.Key))
	}
	ta.assign(&pl, ro)
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
func (ta *Table) assign(pl *Plan, ro *route) {
	sp := &pl.service.split
	pl.pool = ro.old
	if ro.new.usable(pl.Owned) && ta.useNew(pl, sp) {
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
func (ta *Table) useNew(pl *Plan, sp *Split) bool {
	switch {
	case sp.Share <= 0:
		return false
	case sp.Share >= 1:
		return true
	case pl.Owned:
		return unit(mix(pl.keyHash^versionSalt)) < sp.Share
	}
	return ta.splitter.UseNew(sp.Move, sp.Share)
}

// versionSalt makes the version of a key independent of its owner.
const versionSalt = 0x5851f42d4c957f2d

// usable reports whether the pool has an endpoint for a call. The owner of a key
// may be in any data centre, because it must be the same from everywhere.
func (po *pool) usable(owned bool) bool {
	return po != nil && (len(po.groups) > 0 || owned && len(po.owners) > 0)
}
