// Package demonstrator runs a small deployment in one process on the loopback
// interface and checks the guarantees of guavastall.
//
// The deployment has three data centres with two targets each, an in-memory log
// and a load generator that checks every response. The demonstration publishes
// profiles, rolls out a good version, lets a bad version be rolled back, and takes
// a data centre out of service and back in.
package demonstrator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/guavastall/guavastall/internal/asserter"
	"github.com/guavastall/guavastall/internal/loader"
	"github.com/guavastall/guavastall/internal/logserver"
	"github.com/guavastall/guavastall/internal/runner"
	"github.com/guavastall/guavastall/internal/targetserver"
	"github.com/guavastall/guavastall/pkg/checker"
	"github.com/guavastall/guavastall/pkg/operator"
)

const (
	// service is the only service of the demonstration.
	service = checker.Service("tag")
	// targetsPerCentre is the number of targets of the first version in each data
	// centre.
	targetsPerCentre = 2
	// callRate is the number of calls per second.
	callRate = 400
	// maxUnansweredShare bounds the share of calls without a response from a target.
	maxUnansweredShare = 0.001
	// pollInterval is the time between two checks of the state of the nodes.
	pollInterval = 50 * time.Millisecond
	// headerTimeout bounds the time to read the header of a request to the log.
	headerTimeout = 5 * time.Second
)

// centres are the data centres of the demonstration.
var centres = []checker.DataCentre{"lahore", "multan", "sialkot"}

// ErrCheck reports a failed check.
var ErrCheck = errors.New("a check of the demonstration failed")

// Demonstrator runs the demonstration. Use [New], then call Run once.
type Demonstrator struct {
	out   io.Writer
	log   *logrus.Logger
	start time.Time

	platform     *logserver.Server
	platformHTTP *http.Server
	platformAt   netip.AddrPort
	members      []*member
	failed       bool
}

// member is a node with its target.
type member struct {
	dc       checker.DataCentre
	node     *runner.Node
	target   *targetserver.Server
	peers    netip.AddrPort
	callers  netip.AddrPort
	operator *operator.Client
	stop     context.CancelFunc
	ended    chan error
}

// New returns a demonstrator that writes its progress to out. Its nodes log to log.
func New(out io.Writer, log *logrus.Logger) *Demonstrator {
	return &Demonstrator{out: out, log: log}
}

// Run runs the demonstration. It returns [ErrCheck] if a check failed.
func (de *Demonstrator) Run(ctx context.Context) error {
	de.start = time.Now()
	before := asserter.Violations()
	defer de.close()
	steps := []func(context.Context) error{
		de.startMesh, de.publish, de.serve,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	violations := asserter.Violations() - before
	de.check(violations == 0, "invariants violated: %d", violations)
	if de.failed {
		return ErrCheck
	}
	de.printf("all checks passed")
	return nil
}

// printf writes one line with the time since the start.
func (de *Demonstrator) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(de.out, "%6.2fs  %s\n", time.Since(de.start).Seconds(),
		fmt.Sprintf(format, args...))
}

// check writes a line with the result of a check.
func (de *Demonstrator) check(ok bool, format string, args ...any) {
	verdict := "ok"
	if !ok {
		verdict = "FAILED"
		de.failed = true
	}
	de.printf("  %-6s "+format, append([]any{verdict}, args...)...)
}

// startMesh starts the log and the nodes of the first version.
func (de *Demonstrator) startMesh(ctx context.Context) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	de.platform = logserver.New(logserver.Config{})
	de.platformHTTP = &http.Server{
		Handler: de.platform.Handler(), ReadHeaderTimeout: headerTimeout,
	}
	go func() { _ = de.platformHTTP.Serve(ln) }()
	de.platformAt = netip.MustParseAddrPort(ln.Addr().String())
	for _, dc := range centres {
		for range targetsPerCentre {
			if _, err := de.add(dc, "v1"); err != nil {
				return err
			}
		}
	}
	if err := de.awaitMembership(ctx); err != nil {
		return err
	}
	de.printf("%d nodes with a target each, in %d data centres, have discovered each other",
		len(de.members), len(centres))
	return nil
}

// add starts a target of the version and a node for it.
func (de *Demonstrator) add(dc checker.DataCentre, version checker.Version) (*member, error) {
	target, err := targetserver.New(targetserver.Settings{
		Version: version, Slots: 20, Connections: 130, Queue: 20, ResponseBytes: 1024,
		WorkTime: checker.Duration(2 * time.Millisecond),
		ColdTime: checker.Duration(500 * time.Millisecond), ColdSlots: 4, ColdFactor: 2,
	}, time.Now)
	if err != nil {
		return nil, err
	}
	var sockets [4]net.Listener
	var addrs [4]netip.AddrPort
	for nn := range sockets {
		if sockets[nn], err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return nil, err
		}
		addrs[nn] = netip.MustParseAddrPort(sockets[nn].Addr().String())
	}
	go func() { _ = target.Serve(sockets[3]) }()
	settings := de.settings(dc, version, addrs)
	node, err := runner.New(settings, de.log, time.Now)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	mb := &member{
		dc: dc, node: node, target: target, peers: addrs[0], callers: addrs[1],
		operator: operator.New(addrs[2], "", 10*time.Second),
		stop:     stop, ended: make(chan error, 1),
	}
	ls := runner.Listeners{Peers: sockets[0], Callers: sockets[1], Operators: sockets[2]}
	go func() { mb.ended <- node.Run(ctx, ls) }()
	de.members = append(de.members, mb)
	return mb, nil
}

// settings returns the settings of a node. The addresses are those for peers, for
// callers and for operators, and that of its target.
func (de *Demonstrator) settings(
	dc checker.DataCentre, version checker.Version, addrs [4]netip.AddrPort,
) *runner.Settings {
	se := &runner.Settings{
		Listen: addrs[0], CallerListen: addrs[1], OperatorListen: addrs[2],
		DataCentre: dc, Region: "punjab",
		Service: service, TargetVersion: version, Target: addrs[3],
		Slots: 20, Connections: 130, PlatformLog: de.platformAt,
		JoinTime: 3 * time.Second, DrainTime: 5 * time.Second, ProbeInterval: time.Second,
	}
	for _, mb := range de.members {
		se.Seeds = append(se.Seeds, mb.peers)
	}
	return se
}

// awaitMembership waits until every node sees all others as alive.
func (de *Demonstrator) awaitMembership(ctx context.Context) error {
	return de.await(ctx, 15*time.Second, "the nodes did not discover each other", func() bool {
		for _, mb := range de.members {
			alive := 0
			for _, dc := range mb.node.Mesh(time.Now()).DataCentres {
				alive += dc.Alive
			}
			if alive != len(de.members) {
				return false
			}
		}
		return true
	})
}

// await polls the condition until it holds or the limit has elapsed.
func (de *Demonstrator) await(
	ctx context.Context, limit time.Duration, problem string, holds func() bool,
) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !holds() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s within %v", problem, limit)
		case <-ticker.C:
		}
	}
	return nil
}

// publish publishes the profiles and waits until every node applies them.
func (de *Demonstrator) publish(ctx context.Context) error {
	begun := time.Now()
	cl := de.members[0].operator
	ac, err := cl.Publish(ctx, operator.Publication{ID: uuid.NewString(), Document: document()})
	if err != nil {
		return err
	}
	wait, cancel := context.WithTimeout(ctx, 13*time.Second)
	defer cancel()
	_, err = cl.Wait(wait, ac.Revision)
	de.printf("published the profiles as revision %d", ac.Revision)
	de.check(err == nil, "in force at every node after %v",
		time.Since(begun).Round(time.Millisecond))
	return nil
}

// serve makes calls during rollouts and a data centre move.
func (de *Demonstrator) serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	nodes := make([]netip.AddrPort, 0, len(de.members))
	for _, mb := range de.members {
		nodes = append(nodes, mb.callers)
	}
	lo, err := loader.New(loader.Config{
		Nodes: nodes, Service: service, Method: http.MethodGet, Path: "/scan", Name: "demo",
		Rate: callRate, Duration: time.Minute, Timeout: time.Second, MaxRetries: 2,
	})
	if err != nil {
		return err
	}
	calls := make(chan *loader.Report, 1)
	go func() { calls <- lo.Run(ctx) }()
	for _, step := range []func(context.Context) error{
		de.rollOut, de.rollBack, de.moveDataCentre,
	} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	cancel()
	de.reportCalls(<-calls)
	return nil
}

func (de *Demonstrator) reportCalls(re *loader.Report) {
	sent := re.Due - re.Unsent
	de.printf("%d calls: p50 %v, p99 %v, versions %v, kinds %v", sent,
		re.P50, re.P99, re.Versions, re.Kinds)
	de.check(re.Mismatched == 0 && re.Broken == 0, "damaged or mismatched responses: %d",
		re.Mismatched+re.Broken)
	de.check(re.Overdue == 0, "calls without a response after their deadline: %d", re.Overdue)
	unanswered := re.Unknown + re.NotRun
	de.check(float64(unanswered) < maxUnansweredShare*float64(sent),
		"calls without a response from a target: %d", unanswered)
}

// close stops the nodes and the log.
func (de *Demonstrator) close() {
	for _, mb := range de.members {
		mb.stop()
	}
	for _, mb := range de.members {
		if err := <-mb.ended; err != nil {
			de.check(false, "node %s: %v", mb.node, err)
		}
		_ = mb.target.Close()
	}
	if de.platform != nil {
		de.platform.Close()
		_ = de.platformHTTP.Close()
	}
}
