package promoter

import (
	"slices"

	"github.com/guavastall/guavastall/internal/reducer"
	"github.com/guavastall/guavastall/pkg/checker"
)

// view is a snapshot of the node's state at one tick.
type view struct {
	co    Config
	state State
	// moves holds the pending moves.
	moves []reducer.Progress
	// nodes holds the reachable nodes of each data centre, in order.
	nodes     map[checker.DataCentre][]checker.NodeID
	endpoints []Endpoint
}

func newView(co Config, st State) *view {
	vi := &view{
		co: co, state: st, nodes: map[checker.DataCentre][]checker.NodeID{},
	}
	for _, mo := range st.Moves() {
		if mo.Phase == reducer.Pending {
			vi.moves = append(vi.moves, mo)
		}
	}
	if len(vi.moves) == 0 {
		return vi // without moves, the long list of endpoints is not needed
	}
	vi.endpoints = co.Members.Endpoints()
	for _, ep := range vi.endpoints {
		if ep.Alive {
			vi.nodes[ep.DataCentre] = append(vi.nodes[ep.DataCentre], ep.Node)
		}
	}
	for dc, nodes := range vi.nodes {
		slices.SortFunc(nodes, checker.NodeID.Compare)
		vi.nodes[dc] = slices.Compact(nodes)
	}
	return vi
}

// owner returns the evaluator node of the service in the data centre.
func (vi *view) owner(se checker.Service, dc checker.DataCentre) checker.NodeID {
	nodes := vi.nodes[dc]
	if len(nodes) == 0 {
		return checker.NodeID{}
	}
	return vi.co.Owner("evaluator/"+string(se)+"/"+string(dc), nodes)
}

// rollout returns the rollout settings of the service.
func (vi *view) rollout(se checker.Service) (checker.Rollout, bool) {
	doc := vi.state.Document()
	if doc == nil {
		return checker.Rollout{}, false
	}
	co, ok := doc.Services[se]
	if !ok {
		return checker.Rollout{}, false
	}
	pr, ok := doc.Profiles[co.Profile]
	return pr.Rollout, ok
}

// present returns the data centres in service that have a live target of the
// version.
func (vi *view) present(se checker.Service, version checker.Version) []checker.DataCentre {
	return vi.dataCentres(func(ep Endpoint) bool {
		return ep.Alive && ep.Service == se && ep.Version == version
	})
}

// required returns the data centres in service that have a known endpoint of the
// service. Unreachable ones are included: if a move ended without them, all their
// traffic would shift at once on their return.
func (vi *view) required(se checker.Service) []checker.DataCentre {
	return vi.dataCentres(func(ep Endpoint) bool { return ep.Service == se })
}

func (vi *view) dataCentres(match func(Endpoint) bool) []checker.DataCentre {
	var list []checker.DataCentre
	for _, ep := range vi.endpoints {
		if match(ep) && !vi.state.Out(ep.DataCentre) {
			list = append(list, ep.DataCentre)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}
