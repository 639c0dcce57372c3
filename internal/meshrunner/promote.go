package meshrunner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
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
	// rolloutInterval is how often the leader of a rollout evaluates its
	// evidence.
	rolloutInterval = 600 * time.Millisecond
	// maxLeaders is the number of nodes that may lead a rollout. Each of them
	// leads if those before it do not respond.
	maxLeaders = 5
	// maxAppendAttempts bounds the attempts at a conditional append in one
	// evaluation.
	maxAppendAttempts = 3
)

// applyMove applies a record of a rollout's progress. The caller must hold ru.mu.
func (ru *Runner) applyMove(service string, rc replicator.Record) {
	mo, err := stager.DecodeMove(rc.Value)
	if err == nil && mo.Service != service {
		err = fmt.Errorf("the record names the service %q", mo.Service)
	}
	if err != nil {
		ru.Log.WithError(err).WithField("service", service).Warn("rollout record ignored")
		return
	}
	if ru.moves[service].offset == rc.Offset && ru.moves[service].Version != "" {
		return
	}
	ru.moves[service] = observedMove{Move: mo, offset: rc.Offset, observedAt: ru.Now()}
	ru.Log.WithFields(logrus.Fields{
		"service": service, "version": mo.Version, "base": mo.Base, "state": string(mo.State),
		"share": mo.Share(), "reason": mo.Reason, "order": mo.Order, "offset": rc.Offset,
	}).Info("rollout")
}

// runRollouts advances the rollouts that this node leads until ctx is done, then
// closes done.
func (ru *Runner) runRollouts(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	ticker := time.NewTicker(rolloutInterval)
	defer ticker.Stop()
	reported := map[string]stager.Move{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, or := range ru.pendingOrders(reported) {
			if !ru.leadsRollouts(ctx, or.Service) {
				continue
			}
			if err := ru.advanceRollout(ctx, or, reported); err != nil {
				ru.Log.WithError(err).WithField("service", or.Service).Warn("rollout not advanced")
			}
		}
	}
}

// pendingOrders returns the orders whose rollouts are in progress or not yet
// reported.
func (ru *Runner) pendingOrders(reported map[string]stager.Move) []stager.Order {
	if ru.draining.Load() || ru.carrier.View() == nil {
		return nil
	}
	ru.mu.Lock()
	defer ru.mu.Unlock()
	var pending []stager.Order
	for service, or := range ru.orders {
		mo, ok := ru.moves[service]
		if !ok || mo.Order < or.Number || mo.State == stager.Active ||
			reported[service] != mo.Move {
			pending = append(pending, or)
		}
	}
	return pending
}

// leadsRollouts reports whether this node leads the rollouts of the service. The
// leader is the first of some nodes, in an order that all agree on, that responds
// and to which the store responds.
func (ru *Runner) leadsRollouts(ctx context.Context, service string) bool {
	se := ru.settings.Load()
	nodes := []netip.AddrPort{se.Nodes}
	for _, en := range ru.entries() {
		if !en.NodeLeaving {
			nodes = append(nodes, en.Node)
		}
	}
	candidates := elector.Owners("rollout/"+service, nodes, maxLeaders)
	if !slices.Contains(candidates, se.Nodes) {
		return false
	}
	for _, node := range candidates {
		if node == se.Nodes {
			return !ru.operator.Unavailable()
		}
		if he, err := ru.hello(ctx, node); err == nil && he.Ready && !he.StoreLost {
			return false
		}
	}
	return false
}

// advanceRollout takes the next step of a rollout if it is due, and reports the
// rollout's state.
func (ru *Runner) advanceRollout(
	ctx context.Context, or stager.Order, reported map[string]stager.Move,
) error {
	for range maxAppendAttempts {
		// The decision takes a while, because it asks other nodes. The append must fail
		// if the rollout's state changes meanwhile, so its condition is the end of the
		// topic as of the state that the decision is based on.
		end, _ := ru.mesh.End()
		if !ru.moveIsCurrent(or.Service) {
			return nil // the replica is being applied
		}
		mo, changed := ru.nextMove(ctx, or)
		if !changed {
			return ru.reportRollout(ctx, mo, reported)
		}
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

// moveIsCurrent reports whether the known state of the service's rollout is that of the
// replica of the mesh's topic, whose records are applied after its end has advanced.
func (ru *Runner) moveIsCurrent(service string) bool {
	rc, present := ru.mesh.Get(movePrefix + service)
	ru.mu.Lock()
	defer ru.mu.Unlock()
	if mo, known := ru.moves[service]; known || !present {
		return !present || mo.offset == rc.Offset
	}
	_, err := stager.DecodeMove(rc.Value)
	return err != nil // a record of another writer, which is ignored
}

// nextMove returns the state that a rollout should have, and whether the store
// holds a different one.
func (ru *Runner) nextMove(ctx context.Context, or stager.Order) (stager.Move, bool) {
	ru.mu.Lock()
	observed, ok := ru.moves[or.Service]
	ru.mu.Unlock()
	entries := ru.entries()
	if !ok || observed.Order < or.Number {
		return stager.Move{
			Order: or.Number, Service: or.Service, Version: or.Version, State: stager.Active,
			Base: ru.baseOf(or),
		}, true
	}
	if observed.State != stager.Active {
		return observed.Move, false
	}
	next, base, missing := ru.collectEvidence(ctx, entries, observed.Move)
	elapsed := observed.Elapsed + ru.Now().Sub(observed.observedAt)
	mo, changed := stager.Decide(observed.Move, or, elapsed, next, base, missing)
	if changed {
		ru.Log.WithFields(logrus.Fields{
			"service": or.Service, "elapsedMs": elapsed.Milliseconds(), "step": observed.Step,
			"targets": next.Targets, "blocked": next.Blocked, "total": stager.Sum(next.Total),
			"recent": stager.Sum(next.Recent), "baseTotal": stager.Sum(base.Total),
			"routes": next.Total, "baseRoutes": base.Total,
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

// collectEvidence asks the nodes of the service's targets for evidence. It
// reports as missing whether a node with the base version did not respond.
func (ru *Runner) collectEvidence(
	ctx context.Context, entries []*registrar.Entry, mo stager.Move,
) (next, base stager.Evidence, missing bool) {
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
			if err := ru.callNode(ctx, en.Node, evidencePath, nil, ev); err != nil {
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
	next, base = newEvidence(), newEvidence()
	for ev := range answers {
		switch {
		case ev.Service != mo.Service:
		case ev.Version == mo.Version:
			addEvidence(&next, ev)
		case ev.Version == mo.Base:
			missing = missing || ev.Busy < 0
			addEvidence(&base, ev)
		}
	}
	return next, base, missing
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
	if ev.Blocked {
		to.Blocked++
	}
	stager.Merge(to.Total, ev.Total)
	stager.Merge(to.Recent, ev.Recent)
}

// reportRollout writes the state of a rollout to the status topic, unless it is
// already there.
func (ru *Runner) reportRollout(
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
