package forwarder

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/guavastall/guavastall/internal/limiter"
	"github.com/guavastall/guavastall/internal/loader"
	"github.com/guavastall/guavastall/internal/recorder"
	"github.com/guavastall/guavastall/internal/router"
	"github.com/guavastall/guavastall/internal/targetserver"
	"github.com/guavastall/guavastall/pkg/checker"
)

// realNode starts a node with the real limiter, retrier and recorder.
func realNode(t *testing.T, target netip.AddrPort, table func() Table, registry metrics.Registry) (id, caller netip.AddrPort) {
	peerLn, callerLn := listen(t), listen(t)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	fw, err := New(Config{
		Self: addrOf(peerLn), Target: &Target{Service: "tag", Version: "v1", Address: target},
	}, Parts{
		Table: table, Loads: router.NewLoads(1), Retrier: NewRetrier(),
		Limiter: limiter.New(limiter.Config{Slots: 20, Connections: 130, Initial: 4, QueueTime: 500 * time.Millisecond}),
		Log:     recorder.New(logger, registry, time.Now),
	})
	require.NoError(t, err)
	callers, peers := NewServer(fw.Callers(), nil), NewServer(fw.Peers(), nil)
	done := make(chan error, 2)
	go func() { done <- callers.Serve(callerLn) }()
	go func() { done <- peers.Serve(peerLn) }()
	t.Cleanup(func() {
		require.NoError(t, callers.Close())
		require.NoError(t, peers.Close())
		fw.Close()
		require.NoError(t, <-done)
		require.NoError(t, <-done)
	})
	return addrOf(peerLn), addrOf(callerLn)
}

// Guards against an incorrect integration of the real router, limiter and
// retrier: calls that are lost, are executed twice or get a wrong response.
func TestRealParts(t *testing.T) {
	const count = 3
	var ta Table
	registry := metrics.NewRegistry()
	var targets []*targetserver.Server
	var callers []netip.AddrPort
	cf := router.Config{DataCentre: "lahore", Region: "punjab"}
	for range count {
		target, address := startTarget(t, func(se *targetserver.Settings) {
			se.Slots, se.WorkTime = 20, checker.Duration(2*time.Millisecond)
		})
		id, caller := realNode(t, address, func() Table { return ta }, registry)
		targets, callers = append(targets, target), append(callers, caller)
		cf.Endpoints = append(cf.Endpoints, router.Endpoint{
			Node: id, DataCentre: "lahore", Region: "punjab", Service: "tag", Version: "v1",
			Slots: 20, Connections: 130,
		})
	}
	cf.Self = cf.Endpoints[0].Node
	cf.Document = &checker.Document{
		Profiles: map[string]checker.Profile{"steady": {
			Routing: checker.Routing{LocalShare: 0.8, HealthyFloor: 0.5, Hedge: true},
			Limits:  checker.Limits{InitialConcurrency: 4, MaxBodyBytes: 1 << 20},
			Retries: checker.Retries{BudgetRatio: 0.2, MaxAttempts: 3},
		}},
		Services: map[checker.Service]checker.Choice{"tag": {
			Profile: "steady", Version: "v1",
			Routes: []checker.Route{
				{Name: "scan", PathPrefix: "/scan", Idempotent: true, Timeout: checker.Duration(5 * time.Second)},
				{Name: "confirm", PathPrefix: "/confirm", Once: checker.OnceMemory, Timeout: checker.Duration(5 * time.Second)},
				{Name: "all", PathPrefix: "/", Timeout: checker.Duration(5 * time.Second)},
			},
		}},
	}
	table, err := router.NewTable(cf)
	require.NoError(t, err)
	ta = table
	total := int64(0)
	for _, path := range []string{"/scan", "/confirm", "/send"} {
		lo, err := loader.New(loader.Config{
			Nodes: callers[:1], Service: "tag", Path: path, Name: path, Rate: 300,
			Duration: 500 * time.Millisecond, Timeout: 5 * time.Second, BodyBytes: 512, Keyed: true,
		})
		require.NoError(t, err)
		re := lo.Run(context.Background())
		require.Positive(t, re.Good, path)
		require.Equal(t, re.Due, re.Good+re.NotRun+re.Unsent, "%s: %+v", path, re)
		total += re.Good
	}
	runs, shared := int64(0), 0
	for nn, target := range targets {
		runs += int64(target.Calls())
		if target.Calls() > 0 {
			shared++
		}
		for number := range 150 {
			require.LessOrEqual(t, target.Executions(fmt.Sprintf("/send-%d", number)), 1, nn)
		}
	}
	require.GreaterOrEqual(t, runs, total)
	require.Greater(t, shared, 1, "keys have owners on several nodes")
	require.Positive(t, registry.Get("decisions.attempt.sent").(metrics.Counter).Count())
}
