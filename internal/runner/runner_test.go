package runner

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/guavastall/guavastall/internal/asserter"
	"github.com/guavastall/guavastall/internal/logserver"
	"github.com/guavastall/guavastall/internal/targetserver"
	"github.com/guavastall/guavastall/pkg/checker"
	"github.com/guavastall/guavastall/pkg/operator"
)

// testMesh is a mesh of nodes that run in the test process on loopback
// addresses.
type testMesh struct {
	t     *testing.T
	log   *logserver.Server
	addr  netip.AddrPort
	nodes []*testNode
}

// testNode is a node with its target.
type testNode struct {
	node     *Node
	target   *targetserver.Server
	callers  netip.AddrPort
	operator *operator.Client
	stop     context.CancelFunc
	ended    chan error
}

func newTestMesh(t *testing.T) *testMesh {
	log := logserver.New(logserver.Config{AppendRate: 1000})
	srv := httptest.NewServer(log.Handler())
	t.Cleanup(func() {
		log.Close()
		srv.Close()
	})
	addr := netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))
	return &testMesh{t: t, log: log, addr: addr}
}

func listen(t *testing.T) (net.Listener, netip.AddrPort) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return ln, netip.MustParseAddrPort(ln.Addr().String())
}

// add starts a node and its target.
func (tm *testMesh) add(dc checker.DataCentre, se checker.Service, ve checker.Version) *testNode {
	t := tm.t
	target, err := targetserver.New(targetserver.Settings{
		Version: ve, Slots: 20, Connections: 130, Queue: 20,
		WorkTime: checker.Duration(time.Millisecond), ResponseBytes: 1024,
	}, time.Now)
	require.NoError(t, err)
	targetListener, targetAddr := listen(t)
	go func() { _ = target.Serve(targetListener) }()

	var ls Listeners
	settings := parseSettings(t, "--data-centre", string(dc), "--service", string(se),
		"--target-version", string(ve), "--target", targetAddr.String(),
		"--platform-log", tm.addr.String(), "--drain-time", "5s")
	ls.Peers, settings.Listen = listen(t)
	var callers, operators netip.AddrPort
	ls.Callers, callers = listen(t)
	ls.Operators, operators = listen(t)
	for _, other := range tm.nodes {
		settings.Seeds = append(settings.Seeds, other.node.settings.Self())
	}
	require.NoError(t, settings.Check())
	log := logrus.New()
	log.SetOutput(io.Discard)
	if os.Getenv("GUAVASTALL_TEST_LOG") != "" {
		log.SetOutput(os.Stderr)
	}
	no, err := New(settings, log, time.Now)
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	tn := &testNode{
		node: no, target: target, callers: callers, stop: stop,
		operator: operator.New(operators, "", 10*time.Second), ended: make(chan error, 1),
	}
	go func() { tn.ended <- no.Run(ctx, ls) }()
	t.Cleanup(func() {
		stop()
		require.NoError(t, <-tn.ended)
		_ = target.Close()
	})
	tm.nodes = append(tm.nodes, tn)
	return tn
}

// awaitAlive waits until every node knows every other as alive.
func (tm *testMesh) awaitAlive() {
	for _, tn := range tm.nodes {
		require.Eventually(tm.t, func() bool {
			alive := 0
			for _, dc := range tn.node.Mesh(time.Now()).DataCentres {
				alive += dc.Alive
			}
			return alive == len(tm.nodes)
		}, 20*time.Second, 20*time.Millisecond, "node %s", tn.node)
	}
}

func (tm *testMesh) publish() checker.Revision {
	t := tm.t
	data, err := os.ReadFile("../../examples/yaadgar.json")
	require.NoError(t, err)
	doc, err := checker.Decode(data)
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	cl := tm.nodes[0].operator
	ac, err := cl.Publish(ctx, operator.Publication{ID: uuid.NewString(), Document: doc})
	require.NoError(t, err)
	co, err := cl.Wait(ctx, ac.Revision)
	require.NoError(t, err, "%+v", co)
	return ac.Revision
}

// call sends a call and returns the status, the error kind and the body of the
// response. It fails if the response belongs to another call; a repeated
// idempotency key may return the response of an earlier one.
func (tn *testNode) call(method, path, key string) (int, string, string, error) {
	req, err := http.NewRequest(method, "http://"+tn.callers.String()+path, nil)
	if err != nil {
		return 0, "", "", err
	}
	req.Host = "tag"
	id := uuid.NewString()
	req.Header.Set(targetserver.HeaderID, id)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode == http.StatusOK && resp.Header.Get(targetserver.HeaderID) != id &&
		key == "" {
		err = fmt.Errorf("response of call %q, not %q", resp.Header.Get(targetserver.HeaderID), id)
	}
	return resp.StatusCode, resp.Header.Get("Guavastall-Error"), string(body), err
}

// Guards against failures on the way from an operator's publication to the
// complete response to a caller, across two data centres.
func TestPublishToResponse(t *testing.T) {
	before := asserter.Violations()
	tm := newTestMesh(t)
	first := tm.add("lahore", "tag", "v1")
	tm.add("lahore", "tag", "v1")
	third := tm.add("multan", "tag", "v1")
	tm.awaitAlive()
	tm.publish()
	for nn := range 30 {
		tn := tm.nodes[nn%len(tm.nodes)]
		status, kind, body, err := tn.call(http.MethodGet, "/scan", "")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status, "%s %s", kind, body)
	}
	for range 3 {
		status, kind, body, err := first.call(http.MethodPost, "/confirm", "order-1")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status, "%s %s", kind, body)
	}
	status, kind, _, err := first.call(http.MethodGet, "/scan", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status, kind)

	_, err = first.operator.SetDataCentre(t.Context(), "multan", true)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return third.node.State().Out("multan") },
		5*time.Second, 20*time.Millisecond)
	time.Sleep(2 * minTableInterval)
	calls := third.target.Calls()
	for range 20 {
		status, kind, _, err := third.call(http.MethodGet, "/scan", "")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status, kind)
	}
	require.Equal(t, calls, third.target.Calls(), "a data centre that is out got new work")

	third.stop()
	require.NoError(t, <-third.ended)
	third.ended <- nil
	status, kind, _, err = first.call(http.MethodGet, "/scan", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status, kind)
	require.Equal(t, before, asserter.Violations())
}
