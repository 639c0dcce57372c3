package router

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/guavastall/guavastall/internal/answerer"
	"github.com/guavastall/guavastall/pkg/checker"
)

// Table is an immutable routing table.
type Table struct {
	config   Config
	services map[checker.Service]*service
}

type service struct {
	choice    checker.Choice
	profile   *checker.Profile
	split     Split
	endpoints []Endpoint
}

// NewTable builds the table. It fails if a reference does not resolve.
func NewTable(cf Config) (*Table, error) {
	if cf.Document == nil {
		return nil, errors.New("routing table: no document")
	}
	ta := &Table{config: cf, services: map[checker.Service]*service{}}
	for name, ch := range cf.Document.Services {
		pr, ok := cf.Document.Profiles[ch.Profile]
		if !ok {
			return nil, fmt.Errorf("service %q: profile %q does not exist", name, ch.Profile)
		}
		sv := &service{choice: ch, profile: &pr, split: Split{Old: ch.Version}}
		if sp, ok := cf.Splits[name]; ok {
			sv.split = sp
		}
		ta.services[name] = sv
	}
	for _, en := range cf.Endpoints {
		if sv, ok := ta.services[en.Service]; ok {
			sv.endpoints = append(sv.endpoints, en)
		}
	}
	return ta, nil
}

// Plan matches the service and the route of the call, the first match in
// order, and assigns the version. The error has kind UnknownService or NoRoute.
func (ta *Table) Plan(ca Call, _ time.Time) (Plan, error) {
	sv, ok := ta.services[ca.Service]
	if !ok {
		return Plan{}, answerer.New(answerer.UnknownService, "unknown service")
	}
	for nn := range sv.choice.Routes {
		ro := &sv.choice.Routes[nn]
		if strings.HasPrefix(ca.Path, ro.PathPrefix) {
			return Plan{
				Service: ca.Service, Route: ro, Profile: sv.profile, svc: sv,
				Move: sv.split.Move, Version: sv.split.Old,
				Owned: ro.Once != "" && ca.Key != "",
			}, nil
		}
	}
	return Plan{}, answerer.New(answerer.NoRoute, "no route")
}

// Pick chooses the endpoint of one attempt of a planned call, leaving out the
// nodes already tried. The error has kind NoTarget or DataCentreOut.
func (ta *Table) Pick(
	pl Plan, tried []checker.NodeID, _ *Loads, _ time.Time,
) (Endpoint, error) {
next:
	for _, en := range pl.svc.endpoints {
		for _, no := range tried {
			if no == en.Node {
				continue next
			}
		}
		if en.Version == pl.Version && !en.Draining {
			return en, nil
		}
	}
	return Endpoint{}, answerer.New(answerer.NoTarget, "no target")
}
