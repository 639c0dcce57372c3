package meshrunner

import (
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavastall/guavastall/internal/carrier"
	"github.com/guavastall/guavastall/internal/placer"
	"github.com/guavastall/guavastall/internal/registrar"
	"github.com/guavastall/guavastall/internal/replicator"
	"github.com/guavastall/guavastall/internal/stager"
)

// The key prefixes of the mesh's topic.
const (
	nodePrefix = "node/"
	movePrefix = "move/"
)

// observedMove is the progress of a rollout and when this node first observed it.
type observedMove struct {
	stager.Move
	offset     uint64
	observedAt time.Time
}

// operatorChanged processes changed records of the operator's topic.
func (ru *Runner) operatorChanged(keys []string) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	for _, key := range keys {
		rc, ok := ru.operator.Get(key)
		switch {
		case key == ru.ConfigKey():
			if ok {
				ru.applyConfig(rc)
			}
		default:
			if service, is := ru.Rollout(key); is {
				ru.applyOrder(service, rc, ok)
			} else if dataCentre, is := ru.Evacuation(key); is {
				ru.Log.WithFields(logrus.Fields{
					"dataCentre": dataCentre, "out": ok, "offset": rc.Offset,
				}).Info("data centre")
			}
		}
	}
	ru.rebuildView()
}

// applyConfig puts a configuration into effect if it is valid and newer.
func (ru *Runner) applyConfig(rc replicator.Record) {
	entry := ru.Log.WithField("offset", rc.Offset)
	cf, err := ru.DecodeConfig(rc.Value)
	if err != nil {
		entry.WithError(err).Warn("configuration rejected; the old one stays in force")
		return
	}
	entry = entry.WithField("version", cf.Version)
	if ru.config != nil && cf.Version <= ru.config.Version {
		entry.WithField("inForce", ru.config.Version).Warn("configuration is not newer")
		return
	}
	ru.config = cf
	for _, text := range cf.Warnings {
		entry.Warn(text)
	}
	entry.WithFields(logrus.Fields{
		"routes": len(cf.Routes), "services": len(cf.Services),
	}).Info("configuration in force")
}

func (ru *Runner) applyOrder(service string, rc replicator.Record, ok bool) {
	if !ok {
		delete(ru.orders, service)
		return
	}
	or, err := ru.DecodeRollout(rc.Value)
	if err != nil {
		ru.Log.WithError(err).WithField("service", service).Warn("rollout order rejected")
		return
	}
	or.Service, or.Number = service, rc.Offset
	ru.orders[service] = or
	ru.Log.WithFields(logrus.Fields{
		"service": service, "version": or.Version, "duration": or.Duration.String(),
		"order": or.Number,
	}).Info("rollout ordered")
}

// meshChanged processes changed records of the mesh's topic.
func (ru *Runner) meshChanged(keys []string) {
	ru.applyMesh(keys)
	if slices.Contains(keys, ru.ownKey()) {
		ru.restoreTarget()
	}
	ru.requestPublish()
}

// applyMesh applies changed records of the mesh's topic and rebuilds the view.
func (ru *Runner) applyMesh(keys []string) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	for _, key := range keys {
		rc, present := ru.mesh.Get(key)
		if node, ok := strings.CutPrefix(key, nodePrefix); ok {
			ru.applyEntry(node, rc, present)
		} else if service, ok := strings.CutPrefix(key, movePrefix); ok {
			if present {
				ru.applyMove(service, rc)
			} else {
				delete(ru.moves, service)
			}
		}
	}
	others := ru.directory.Others(ru.settings.Load().Nodes)
	ru.otherEntries.Store(&others)
	ru.rebuildView()
}

// entries returns the valid entries of all other nodes. They are shared and must
// not be modified.
func (ru *Runner) entries() []*registrar.Entry {
	if all := ru.otherEntries.Load(); all != nil {
		return *all
	}
	return nil
}

// applyEntry applies the record of a node's entry. An entry that no node can have
// written names no target to use.
func (ru *Runner) applyEntry(node string, rc replicator.Record, present bool) {
	if !present {
		ru.directory.Delete(node)
		return
	}
	if err := ru.directory.Set(node, rc.Value); err != nil {
		ru.Log.WithError(err).WithField("offset", rc.Offset).Warn("entry ignored")
	}
}

// ownKey returns the key of the node's entry.
func (ru *Runner) ownKey() string {
	return nodePrefix + ru.settings.Load().Nodes.Addr().String()
}

// ownEntry returns the node's entry without its position in the sequence of the
// node's entries.
func (ru *Runner) ownEntry() registrar.Entry {
	se := ru.settings.Load()
	en := registrar.NewEntry(se.Nodes, se.DataCentre, ru.gate.Current())
	en.NodeLeaving, en.Capacity = ru.draining.Load(), se.Capacity
	en.Down = ru.down.Load()
	return en
}

// rebuildView builds a new view of the mesh. The caller must hold ru.mu.
func (ru *Runner) rebuildView() {
	if ru.config == nil {
		return
	}
	own := ru.ownEntry()
	entries := append(ru.entries(), &own)

	vi := &carrier.View{
		Config: ru.config, Targets: map[string][]carrier.Target{},
		Versions: map[string]stager.Versions{}, Evacuated: map[string]bool{},
		Canaries: map[string]map[string]bool{},
	}
	for _, en := range entries {
		vi.Nodes = append(vi.Nodes, en.Node)
	}
	ru.operator.Each(func(rc replicator.Record) {
		if dataCentre, ok := ru.Evacuation(rc.Key); ok {
			vi.Evacuated[dataCentre] = true
		}
	})
	counts := map[string]map[string]int{}
	for _, en := range entries {
		if !en.Usable() {
			continue
		}
		vi.Targets[en.Service] = append(vi.Targets[en.Service], targetOf(en))
		if counts[en.Service] == nil {
			counts[en.Service] = map[string]int{}
		}
		counts[en.Service][en.Version]++
	}
	for service := range ru.config.Services {
		ve := ru.selectVersions(service, counts[service])
		vi.Versions[service] = ve
		if ve.Next != "" {
			vi.Canaries[service] = canaries(ve, vi.Targets[service])
		}
	}
	ru.setGateRules(vi, &own)
	ru.carrier.SetView(vi)
}

// canaries returns the targets that receive the new version's requests.
func canaries(ve stager.Versions, targets []carrier.Target) map[string]bool {
	var ids []string
	for nn := range targets {
		if targets[nn].Version == ve.Next {
			ids = append(ids, targets[nn].ID)
		}
	}
	return stager.Canaries(ve.Next, ve.Share, ids)
}

func targetOf(en *registrar.Entry) carrier.Target {
	return carrier.Target{
		Target: placer.Target{
			ID: en.Target, Node: en.Node, DataCentre: en.DataCentre, Slots: en.Slots,
		},
		Version: en.Version,
	}
}

// selectVersions returns the versions of a service that receive requests.
func (ru *Runner) selectVersions(service string, counts map[string]int) stager.Versions {
	var order *stager.Order
	var move *stager.Move
	if or, ok := ru.orders[service]; ok {
		order = &or
	}
	if mo, ok := ru.moves[service]; ok {
		move = &mo.Move
	}
	return stager.Select(order, move, counts)
}

// setGateRules sets the gate's restrictions on the local target.
func (ru *Runner) setGateRules(vi *carrier.View, own *registrar.Entry) {
	ve := vi.Versions[own.Service]
	blocked := own.Target != "" && !ve.Allows(own.Version)
	rolloutActive := ve.Next != "" && ve.Next == own.Version
	rules := carrier.Rules{
		Evacuated: vi.Evacuated[own.DataCentre], VersionBlocked: blocked,
		RolloutActive: rolloutActive,
	}
	if service := vi.Config.Services[own.Service]; service != nil {
		rules.ColdRate = ru.settings.Load().coldRate(service.ColdRate)
	}
	ru.gate.SetRules(rules)
}
