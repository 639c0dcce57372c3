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
	// keepPeriod is how often the node looks after its target and unreachable
	// nodes.
	keepPeriod = 250 * time.Millisecond
	// greetTicks and sweepTicks are the numbers of periods between two looks at
	// departed nodes, a second, and at idle connections, two seconds.
	greetTicks = 4
	sweepTicks = 8
	// downAfter is the number of failed health checks after which other nodes are
	// told that the target is down.
	downAfter = 3
	// gapTime is the time missing between two looks from which the node takes
	// itself for one that was stopped.
	gapTime = time.Second
	// healthTime bounds a health check, which waits for a slot of the target.
	healthTime = 400 * time.Millisecond
)

// keep looks after the target and unreachable nodes until the context ends, and
// closes done.
func (ru *Runner) keep(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	ticker := time.NewTicker(keepPeriod)
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
		if gap := now - last; gap > keepPeriod+gapTime {
			ru.Log.WithField("gapMs", gap.Milliseconds()).Warn("process was stopped")
			ru.gate.MarkUnverified()
		}
		last = now
		ru.restore()
		if ru.gate.NeedsVerification() {
			if ru.verify(ctx) {
				failures = 0
			} else if failures++; failures == downAfter {
				ru.setDown(true)
			}
		}
		due := ru.carrier.NodesToProbe()
		for _, node := range due {
			ru.carrier.RecordProbe(node, false) // until it answers
		}
		if count%greetTicks == 0 {
			due = append(due, ru.departed()...)
		}
		for _, node := range due {
			probes.Add(1)
			go func() {
				defer probes.Done()
				ru.probe(ctx, node)
			}()
		}
		if count%sweepTicks == 0 {
			ru.carrier.CloseIdleConnections()
		}
	}
}

// departed returns the nodes of the own data centre that said they stop, if this
// node is its reader. One that has started again while the store does not answer
// it knows no other node until one says hello.
func (ru *Runner) departed() []netip.AddrPort {
	se := ru.settings.Load()
	if first := ru.readers(); len(first) == 0 || first[0] != se.Nodes {
		return nil
	}
	var gone []netip.AddrPort
	for _, en := range ru.entries() {
		if en.NodeLeaving && en.DataCentre == se.DataCentre {
			gone = append(gone, en.Node)
		}
	}
	return gone
}

// bootTime returns the time since the machine started, including the time that
// it was suspended, which the monotonic clock leaves out.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}

// probe asks an unreachable node whether it is back.
func (ru *Runner) probe(ctx context.Context, node netip.AddrPort) {
	he, err := ru.hail(ctx, node)
	if err != nil || !he.Ready || ru.carrier.Reachable(node) {
		return
	}
	ru.carrier.RecordProbe(node, true)
	ru.Log.WithField("node", node.String()).Info("node regained")
}

// restore takes over the target from the entry of an earlier process.
func (ru *Runner) restore() {
	if ru.gate.Current().State != registrar.Unknown {
		return
	}
	self := ru.settings.Load().Nodes
	rc, ok := ru.mesh.Get(nodePrefix + self.Addr().String())
	if !ok {
		return
	}
	en, err := registrar.DecodeEntry(rc.Value)
	if err != nil || en.Target == "" || en.Node != self {
		return
	}
	ru.gate.Restore(en.Instance())
	ru.Log.WithFields(logrus.Fields{
		"target": en.Target, "version": en.Version, "leaving": en.Leaving, "offset": rc.Offset,
	}).Info("target restored from the store")
	ru.refresh()
}

// refresh rebuilds the view after a change of the own target.
func (ru *Runner) refresh() {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	ru.rebuild()
}

// verify checks by a health check that the target is the one that is known, and
// whether it is cold. It reports whether it is.
func (ru *Runner) verify(ctx context.Context) bool {
	in := ru.gate.Current()
	path := ru.healthPath(in.Service)
	if path == "" {
		return false
	}
	id, cold, err := ru.health(ctx, path)
	if err != nil {
		if ru.unverified.changed(in.ID, "error") {
			ru.Log.WithError(err).WithField("target", in.ID).Info("target not verified")
		}
		return false
	}
	if !ru.gate.Verify(id, cold) {
		if ru.unverified.changed(in.ID, id) {
			ru.Log.WithField("target", in.ID).WithField("found", id).Info("target not verified")
		}
		return false
	}
	ru.unverified = failedCheck{}
	ru.setDown(false)
	ru.Log.WithField("target", in.ID).WithField("coldMs", cold.Milliseconds()).
		Info("target verified")
	return true
}

// failedCheck is the last health check that failed, for the log: a target that is
// gone is checked several times a second.
type failedCheck struct {
	target, reason string
}

// changed notes a failed check and reports whether it differs from the one before.
func (fc *failedCheck) changed(target, reason string) bool {
	next := failedCheck{target, reason}
	same := *fc == next
	*fc = next
	return !same
}

// setDown tells other nodes whether the target can be used.
func (ru *Runner) setDown(down bool) {
	if ru.down.Swap(down) != down {
		ru.Log.WithField("down", down).Info("target down")
		ru.refresh()
		ru.republish()
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

// health makes a health check on a connection of its own.
func (ru *Runner) health(ctx context.Context, path string) (string, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, healthTime)
	defer cancel()
	target := ru.settings.Load().Target.String()
	client := http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{}).DialContext, DisableKeepAlives: true,
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
		return "", 0, fmt.Errorf("the target answered %s", rs.Status)
	}
	cold := time.Duration(0)
	if text := strings.TrimSpace(rs.Header.Get(ru.Names.Cold)); text != "" {
		ms, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return "", 0, fmt.Errorf("read how long the target is cold: %w", err)
		}
		cold = time.Duration(ms * float64(time.Millisecond))
	}
	return rs.Header.Get(ru.Names.Instance), cold, nil
}
