package meshrunner

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"github.com/guavastall/guavastall/internal/registrar"
)

const (
	// maintenanceInterval is how often the node checks its target and unreachable
	// nodes.
	maintenanceInterval = 250 * time.Millisecond
	// leavingProbeTicks and idleConnTicks are the numbers of intervals between
	// two probes of leaving nodes, one second, and between two checks of idle
	// connections, two seconds.
	leavingProbeTicks = 4
	idleConnTicks     = 8
	// downThreshold is the number of failed health checks after which other nodes
	// are told that the target is down.
	downThreshold = 3
	// suspendThreshold is the delay of a check from which the node assumes that
	// its process was stopped.
	suspendThreshold = time.Second
	// healthCheckTimeout bounds a health check, which has to wait for a slot of
	// the target.
	healthCheckTimeout = 400 * time.Millisecond
)

// maintain checks the target and unreachable nodes until ctx is done, then closes
// done.
func (ru *Runner) maintain(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	var probes sync.WaitGroup
	defer probes.Wait()
	last, failures := bootTime(), 0
	for count := 0; ; count++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := bootTime()
		if gap := now - last; gap > maintenanceInterval+suspendThreshold {
			ru.Log.WithField("gapMs", gap.Milliseconds()).Warn("process was stopped")
			ru.gate.MarkUnverified()
		}
		last = now
		switch {
		case !ru.gate.NeedsVerification() || ru.verifyTarget(ctx):
			failures = 0
		default:
			if failures++; failures == downThreshold {
				ru.setDown(true)
			}
		}
		due := ru.carrier.NodesToProbe()
		for _, node := range due {
			ru.carrier.RecordProbe(node, false) // unreachable until it responds
		}
		if count%leavingProbeTicks == 0 {
			due = append(due, ru.leavingNodes()...)
		}
		for _, node := range due {
			probes.Add(1)
			go func() {
				defer probes.Done()
				ru.probe(ctx, node)
			}()
		}
		if count%idleConnTicks == 0 {
			ru.carrier.CloseIdleConnections()
		}
	}
}

// leavingNodes returns the nodes of this data centre that have announced their
// shutdown, if this node is the data centre's first reader. A node that has
// restarted while the store does not respond to it knows no other node until one
// sends it a hello.
func (ru *Runner) leavingNodes() []netip.AddrPort {
	se := ru.settings.Load()
	if first := ru.readers(); len(first) == 0 || first[0] != se.Nodes {
		return nil
	}
	var leaving []netip.AddrPort
	for _, en := range ru.entries() {
		if en.NodeLeaving && en.DataCentre == se.DataCentre {
			leaving = append(leaving, en.Node)
		}
	}
	return leaving
}

// bootTime returns the time since the machine started, including the time for
// which it was suspended, which the monotonic clock leaves out.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}

// probe asks an unreachable node whether it is ready again.
func (ru *Runner) probe(ctx context.Context, node netip.AddrPort) {
	he, err := ru.hello(ctx, node)
	if err != nil || !he.Ready || ru.carrier.Reachable(node) {
		return
	}
	ru.carrier.RecordProbe(node, true)
	ru.Log.WithField("node", node.String()).Info("node regained")
}

// restoreTarget joins the target with the entry that an earlier process of the node
// published.
func (ru *Runner) restoreTarget() {
	rc, ok := ru.mesh.Get(ru.ownKey())
	if !ok {
		return
	}
	self := ru.settings.Load().Nodes
	en, err := registrar.DecodeEntry(self.Addr().String(), rc.Value)
	if err != nil || en.Target == "" || en.Node != self || !ru.gate.Restore(en.Instance()) {
		return
	}
	ru.Log.WithFields(logrus.Fields{
		"target": en.Target, "version": en.Version, "leaving": en.Leaving,
		"sequence": en.Sequence, "offset": rc.Offset,
	}).Info("target restored from the store")
	ru.refreshView()
	// The entry in the store may still say that the node is leaving.
	ru.requestPublish()
}

// refreshView rebuilds the view after a change of the local target.
func (ru *Runner) refreshView() {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	ru.rebuildView()
}

// verifyTarget runs a health check to verify that the running target is the known
// one, and to learn whether it is cold. It reports whether the target was
// verified.
func (ru *Runner) verifyTarget(ctx context.Context) bool {
	in := ru.gate.Current()
	path := ru.healthPath(in.Service)
	if path == "" {
		return false
	}
	id, cold, err := ru.checkHealth(ctx, path)
	if err != nil {
		if ru.lastFailedCheck.update(in.ID, "error") {
			ru.Log.WithError(err).WithField("target", in.ID).Info("target not verified")
		}
		return false
	}
	if !ru.gate.Verify(id, cold) {
		if ru.lastFailedCheck.update(in.ID, id) {
			ru.Log.WithField("target", in.ID).WithField("found", id).Info("target not verified")
		}
		return false
	}
	ru.lastFailedCheck = failedCheck{}
	ru.setDown(false)
	ru.Log.WithField("target", in.ID).WithField("coldMs", cold.Milliseconds()).
		Info("target verified")
	return true
}

// failedCheck is the last failed health check. It keeps the log short, because a
// target that has ended is checked several times a second.
type failedCheck struct {
	target, reason string
}

// update records a failed check and reports whether it differs from the previous
// one.
func (fc *failedCheck) update(target, reason string) bool {
	next := failedCheck{target, reason}
	same := *fc == next
	*fc = next
	return !same
}

// setDown tells other nodes whether the target can be used.
func (ru *Runner) setDown(down bool) {
	if ru.down.Swap(down) != down {
		ru.Log.WithField("down", down).Info("target down")
		ru.refreshView()
		ru.requestPublish()
	}
}

// healthPath returns the path of the service's health check, or "".
func (ru *Runner) healthPath(service string) string {
	vi := ru.carrier.View()
	if vi == nil || vi.Config.Services[service] == nil {
		return ""
	}
	return vi.Config.Services[service].HealthPath
}

// checkHealth runs a health check on a connection of its own. It returns the
// target's ID and its remaining cold time.
func (ru *Runner) checkHealth(ctx context.Context, path string) (string, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	target := ru.settings.Load().Target.String()
	client := http.Client{Transport: &http.Transport{
		MaxResponseHeaderBytes: maxHeaderBytes,
		DialContext:            (&net.Dialer{}).DialContext, DisableKeepAlives: true,
	}}
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+target+path, nil)
	if err != nil {
		return "", 0, err
	}
	rs, err := client.Do(rq)
	if err != nil {
		return "", 0, err
	}
	defer func() { _ = rs.Body.Close() }()
	if _, err := io.Copy(io.Discard, io.LimitReader(rs.Body, maxPeerBytes)); err != nil {
		return "", 0, err
	}
	if rs.StatusCode != http.StatusOK {
		return "", 0, fmt.Errorf("health check failed with status %s", rs.Status)
	}
	cold := time.Duration(0)
	if text := strings.TrimSpace(rs.Header.Get(ru.Names.Cold)); text != "" {
		ms, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return "", 0, fmt.Errorf("parse remaining cold time: %w", err)
		}
		cold = time.Duration(ms * float64(time.Millisecond))
	}
	return rs.Header.Get(ru.Names.Instance), cold, nil
}
