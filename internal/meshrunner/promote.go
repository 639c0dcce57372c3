package meshrunner

import (
	"context"
	"encoding/json"
	"errors"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavastall/guavastall/internal/elector"
	"github.com/guavastall/guavastall/internal/registrar"
	"github.com/guavastall/guavastall/internal/replicator"
	"github.com/guavastall/guavastall/internal/stager"
)

const (
	// promotePeriod is how often the leading node of a rollout looks at its
	// evidence.
	promotePeriod = 600 * time.Millisecond
	// leaders is the number of nodes that may lead a rollout, one after another
	// as those before do not answer.
	leaders = 5
	// conflictTries bounds the attempts at a conditional append in one look.
	conflictTries = 3
)

// takeMove takes a record of a rollout's progress. The caller holds the lock.
func (ru *Runner) takeMove(service string, rc replicator.Record) {
	var mo stager.Move
	if err := json.Unmarshal(rc.Value, &mo); err != nil {
		ru.Log.WithError(err).WithField("service", service).Warn("rollout record ignored")
		return
	}
	if ru.moves[service].offset == rc.Offset && ru.moves[service].Version != "" {
		return
	}
	ru.moves[service] = seenMove{Move: mo, offset: rc.Offset, seen: ru.Now()}
	ru.Log.WithFields(logrus.Fields{
		"service": service, "version": mo.Version, "base": mo.Base, "state": string(mo.State),
		"share": mo.Share(), "reason": mo.Reason, "order": mo.Order, "offset": rc.Offset,
	}).Info("rollout")
}

// promote leads the rollouts that fall to this node until the context ends, and
// closes done.
func (ru *Runner) promote(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	ticker := time.NewTicker(promotePeriod)
	defer ticker.Stop()
	reported := map[string]stager.Move{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, or := range ru.openOrders(reported) {
			if !ru.leads(ctx, or.Service) {
				continue
			}
			if err := ru.advance(ctx, or, reported); err != nil {
				ru.Log.WithError(err).WithField("service", or.Service).Warn("rollout not advanced")
			}
		}
	}
}

// openOrders returns the orders whose rollouts are under way or not reported.
func (ru *Runner) openOrders(reported map[string]stager.Move) []stager.Order {
	if ru.leaving.Load() || ru.carrier.View() == nil {
		return nil
	}
	ru.mu.Lock()
	defer ru.mu.Unlock()
	var open []stager.Order
	for service, or := range ru.orders {
		mo, ok := ru.moves[service]
		if !ok || mo.Order < or.Number || mo.State == stager.Active ||
			reported[service] != mo.Move {
			open = append(open, or)
		}
	}
	return open
}

// leads reports whether this node leads the rollouts of the service: it is the
// first of some nodes, in an order that all agree on, that answers and that the
// store answers.
func (ru *Runner) leads(ctx context.Context, service string) bool {
	se := ru.settings.Load()
	nodes := []netip.AddrPort{se.Nodes}
	for _, en := range ru.entries() {
		if !en.NodeLeaving {
			nodes = append(nodes, en.Node)
		}
	}
	candidates := elector.Owners("rollout/"+service, nodes, leaders)
	if !slices.Contains(candidates, se.Nodes) {
		return false
	}
	for _, node := range candidates {
		if node == se.Nodes {
			return !ru.operator.Unavailable()
		}
		if he, err := ru.hail(ctx, node); err == nil && he.Ready && !he.StoreLost {
			return false
		}
	}
	return false
}

// advance takes the next step of a rollout if it is due, and reports its state.
func (ru *Runner) advance(
	ctx context.Context, or stager.Order, reported map[string]stager.Move,
) error {
	for range conflictTries {
		mo, changed := ru.nextMove(ctx, or)
		if !changed {
			return ru.report(ctx, mo, reported)
		}
		end, _ := ru.mesh.End()
		value, err := json.Marshal(mo)
		if err != nil {
			return err
		}
		_, err = ru.Mesh.Append(ctx, movePrefix+or.Service, value, &end)
		if err == nil {
			ru.Log.WithFields(logrus.Fields{
				"service": or.Service, "version": mo.Version, "state": string(mo.State),
				"share": mo.Share(), "reason": mo.Reason, "at": end,
			}).Info("rollout advanced")
		} else if !errors.Is(err, ErrConflict) {
			return err
		}
		if err := ru.mesh.Refresh(ctx); err != nil {
			return err
		}
	}
	return nil
}

// nextMove returns the state that a rollout should have, and whether the store
// holds another.
func (ru *Runner) nextMove(ctx context.Context, or stager.Order) (stager.Move, bool) {
	ru.mu.Lock()
	seen, ok := ru.moves[or.Service]
	ru.mu.Unlock()
	entries := ru.entries()
	if !ok || seen.Order < or.Number {
		return stager.Move{
			Order: or.Number, Service: or.Service, Version: or.Version, State: stager.Active,
			Base: ru.baseOf(or),
		}, true
	}
	if seen.State != stager.Active {
		return seen.Move, false
	}
	fresh, base, missing := ru.gather(ctx, entries, seen.Move)
	elapsed := seen.Elapsed + ru.Now().Sub(seen.seen)
	mo, changed := stager.Decide(seen.Move, or, elapsed, fresh, base, missing)
	if changed {
		ru.Log.WithFields(logrus.Fields{
			"service": or.Service, "elapsedMs": elapsed.Milliseconds(), "step": seen.Step,
			"targets": fresh.Targets, "total": stager.Sum(fresh.Total),
			"recent": stager.Sum(fresh.Recent), "baseTotal": stager.Sum(base.Total),
			"baseRecent": stager.Sum(base.Recent), "baseRunning": base.Running,
			"missing": missing,
		}).Info("rollout evidence")
	}
	return mo, changed
}

// baseOf returns the version that a rollout starts from.
func (ru *Runner) baseOf(or stager.Order) string {
	vi := ru.carrier.View()
	ve := vi.Versions[or.Service]
	return ve.Base
}

// gather asks the nodes beside the service's targets for evidence.
func (ru *Runner) gather(
	ctx context.Context, entries []*registrar.Entry, mo stager.Move,
) (fresh, base stager.Evidence, missing bool) {
	answers := make(chan *evidence, len(entries)+1)
	var calls sync.WaitGroup
	for _, en := range entries {
		if en.Service != mo.Service || en.NodeLeaving {
			continue
		}
		calls.Add(1)
		go func() {
			defer calls.Done()
			ev := new(evidence)
			if err := ru.ask(ctx, en.Node, evidencePath, nil, ev); err != nil {
				ru.Log.WithError(err).WithField("node", en.Node.String()).Debug("no evidence")
				*ev = evidence{Service: en.Service, Version: en.Version, Busy: -1}
			}
			answers <- ev
		}()
	}
	own := ru.ownEvidence()
	answers <- &own
	calls.Wait()
	close(answers)
	fresh, base = newEvidence(), newEvidence()
	for ev := range answers {
		switch {
		case ev.Service != mo.Service:
		case ev.Version == mo.Version:
			addEvidence(&fresh, ev)
		case ev.Version == mo.Base:
			missing = missing || ev.Busy < 0
			addEvidence(&base, ev)
		}
	}
	return fresh, base, missing
}

func newEvidence() stager.Evidence {
	return stager.Evidence{Total: map[string]stager.Tally{}, Recent: map[string]stager.Tally{}}
}

func addEvidence(to *stager.Evidence, ev *evidence) {
	if ev.Busy < 0 {
		return
	}
	to.Targets++
	to.Running += ev.Busy
	stager.Merge(to.Total, ev.Total)
	stager.Merge(to.Recent, ev.Recent)
}

// report writes the state of a rollout where operators read it, unless it
// stands there already.
func (ru *Runner) report(
	ctx context.Context, mo stager.Move, reported map[string]stager.Move,
) error {
	if reported[mo.Service] == mo {
		return nil
	}
	key, value, err := ru.EncodeStatus(mo)
	if err != nil {
		return err
	}
	sn, err := ru.Status.Newest(ctx)
	if err != nil {
		return err
	}
	for _, rc := range sn.Records {
		if rc.Key == key && string(rc.Value) == string(value) {
			reported[mo.Service] = mo
			return nil
		}
	}
	if _, err := ru.Status.Append(ctx, key, value, &sn.End); err != nil {
		return err
	}
	reported[mo.Service] = mo
	ru.Log.WithFields(logrus.Fields{
		"service": mo.Service, "version": mo.Version, "state": string(mo.State), "at": sn.End,
	}).Info("rollout reported")
	return nil
}
