package distributor

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"maps"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavastall/guavastall/internal/appender"
	"github.com/guavastall/guavastall/internal/asserter"
	"github.com/guavastall/guavastall/internal/elector"
	"github.com/guavastall/guavastall/internal/logserver"
	"github.com/guavastall/guavastall/internal/reducer"
	"github.com/guavastall/guavastall/internal/relayer"
	"github.com/guavastall/guavastall/pkg/checker"
)

func testDocument(version checker.Version) *checker.Document {
	return &checker.Document{
		Profiles: map[string]checker.Profile{"steady": {
			Rollout: checker.Rollout{
				Steps: []float64{0.5, 1}, StepTime: checker.Duration(time.Second),
				MinCalls: 10, MaxLatencyFactor: 2, QuietAfter: checker.Duration(time.Minute),
			},
			Limits:  checker.Limits{InitialConcurrency: 2, MaxBodyBytes: 1 << 20},
			Retries: checker.Retries{BudgetRatio: 0.1, MaxAttempts: 3},
		}},
		Services: map[checker.Service]checker.Choice{"tag": {
			Profile: "steady", Version: version,
			Routes: []checker.Route{{Name: "all", PathPrefix: "/", Timeout: checker.Duration(time.Second)}},
		}},
	}
}

// network connects the nodes of a test and controls their membership.
type network struct {
	mu    sync.Mutex
	nodes map[checker.NodeID]*testNode
	dead  map[checker.NodeID]bool
	// frozen holds the nodes that neither respond nor refuse connections.
	frozen      map[checker.NodeID]bool
	partitioned func(aa, bb *testNode) bool
}

// testNode is one run of a node, from its start to its end or restart.
type testNode struct {
	*Distributor
	net        *network
	member     elector.Member
	neighbours []checker.NodeID
	log        *switchableLog
	// known holds the members that this node has learned of; nil means all.
	known map[checker.NodeID]bool
	stop  context.CancelFunc
	ended chan struct{}
}

// switchableLog is a client of the log that a test can disconnect.
type switchableLog struct {
	*appender.Client
	mu   sync.Mutex
	down bool
}

var errLogDown = fmt.Errorf("%w: disconnected by the test", appender.ErrUnavailable)

func (gl *switchableLog) setDown(down bool) {
	gl.mu.Lock()
	defer gl.mu.Unlock()
	gl.down = down
}

func (gl *switchableLog) isDown() bool {
	gl.mu.Lock()
	defer gl.mu.Unlock()
	return gl.down
}

func (gl *switchableLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	if gl.isDown() {
		return 0, appender.ErrRefused
	}
	return gl.Client.Append(ctx, stream, data)
}

func (gl *switchableLog) Read(
	ctx context.Context, stream string, from uint64, limit int, wait time.Duration,
) (appender.Batch, error) {
	if gl.isDown() {
		return appender.Batch{}, errLogDown
	}
	ba, err := gl.Client.Read(ctx, stream, from, limit, wait)
	if gl.isDown() {
		return appender.Batch{}, errLogDown
	}
	return ba, err
}

func (gl *switchableLog) Last(ctx context.Context, stream string, count int) ([]appender.Record, error) {
	if gl.isDown() {
		return nil, errLogDown
	}
	return gl.Client.Last(ctx, stream, count)
}

func (tn *testNode) Alive() []elector.Member {
	tn.net.mu.Lock()
	defer tn.net.mu.Unlock()
	var list []elector.Member
	for no, other := range tn.net.nodes {
		if !tn.net.dead[no] && (tn.known == nil || tn.known[no]) {
			list = append(list, other.member)
		}
	}
	return list
}

func (tn *testNode) Neighbours() []checker.NodeID {
	tn.net.mu.Lock()
	defer tn.net.mu.Unlock()
	neighbours := tn.neighbours
	if tn.known != nil {
		others := maps.Clone(tn.known)
		delete(others, tn.member.Node)
		neighbours = elector.Owners(tn.member.Node.String(), slices.Collect(maps.Keys(others)), 3)
	}
	return slices.DeleteFunc(slices.Clone(neighbours), func(no checker.NodeID) bool { return tn.net.dead[no] })
}

// mergeMembers merges the members that two nodes know, as gossip between them
// does.
func (tn *testNode) mergeMembers(other *testNode) {
	for _, pair := range [][2]*testNode{{tn, other}, {other, tn}} {
		if pair[0].known == nil {
			continue
		}
		pair[0].known[pair[1].member.Node] = true
		for no := range pair[1].known {
			pair[0].known[no] = true
		}
	}
}

// Call encodes and decodes arguments and reply with gob, as net/rpc does.
func (tn *testNode) Call(ctx context.Context, node checker.NodeID, method string, args, reply any) error {
	tn.net.mu.Lock()
	to, ok := tn.net.nodes[node]
	frozen := tn.net.frozen[node] || tn.net.frozen[tn.member.Node]
	refused := !ok || tn.net.dead[node] || tn.net.dead[tn.member.Node] || tn.net.partitioned(tn, to)
	if !frozen && !refused {
		tn.mergeMembers(to)
	}
	tn.net.mu.Unlock()
	if frozen {
		<-ctx.Done()
		return ctx.Err()
	}
	if refused {
		return errors.New("connection refused")
	}
	switch method {
	case "Distributor.Push", "Distributor.Digest":
		var ps relayer.Push
		var di relayer.Digest
		gobCopy(args, &ps)
		if err := to.Receiver().Push(ps, &di); err != nil {
			return err
		}
		gobCopy(di, reply)
	case "Distributor.Pull":
		var pl relayer.Pull
		var re relayer.Reply
		gobCopy(args, &pl)
		if err := to.Receiver().Pull(pl, &re); err != nil {
			return err
		}
		gobCopy(re, reply)
	default:
		return fmt.Errorf("method %q does not exist", method)
	}
	return nil
}

func gobCopy(from, to any) {
	var buf bytes.Buffer
	if err := errors.Join(gob.NewEncoder(&buf).Encode(from), gob.NewDecoder(&buf).Decode(to)); err != nil {
		panic(err)
	}
}

// cluster is a log over a loopback socket and the nodes of a test.
type cluster struct {
	t   *testing.T
	net *network
	log *logserver.Server
	url string
	cf  Config
}

func newCluster(t *testing.T, cf logserver.Config) *cluster {
	t.Helper()
	before := asserter.Violations()
	cl := &cluster{
		t: t, log: logserver.New(cf),
		net: &network{
			nodes: map[checker.NodeID]*testNode{}, dead: map[checker.NodeID]bool{},
			frozen: map[checker.NodeID]bool{}, partitioned: func(_, _ *testNode) bool { return false },
		},
		cf: Config{
			StartWait: time.Second, Poll: 100 * time.Millisecond, CallTimeout: 300 * time.Millisecond,
			// A reader looks up the newest checkpoint within an eighth of Retention.
			Retention: 2 * time.Second, GapWait: 100 * time.Millisecond, Tick: 10 * time.Millisecond, AnnounceEvery: 100 * time.Millisecond,
			Reader: elector.Config{
				Budget: 2000, Expected: 5, PeersFirst: 50 * time.Millisecond,
				HalfLife: 100 * time.Millisecond, SubstituteAfter: 600 * time.Millisecond,
			},
			Relay: relayer.Config{Period: 50 * time.Millisecond},
		},
	}
	hs := httptest.NewServer(cl.log.Handler())
	cl.url = hs.URL
	t.Cleanup(func() {
		for _, tn := range cl.net.nodes {
			tn.stop()
			<-tn.ended
		}
		cl.log.Close()
		hs.Close()
		require.Equal(t, before, asserter.Violations())
	})
	return cl
}

func nodeID(nn int) checker.NodeID {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(nn >> 8), byte(nn)}), 7000)
}

// start starts nodes 0 to count-1, assigns them to the data centres round-robin
// and makes the three nodes that follow each its neighbours.
func (cl *cluster) start(count, dataCentres int) []*testNode {
	var nodes []*testNode
	for ii := range count {
		nodes = append(nodes, cl.node(ii, count, dataCentres))
	}
	for _, tn := range nodes {
		tn.run()
	}
	return nodes
}

// node creates a node that replaces any earlier one with the same number.
func (cl *cluster) node(nn, count, dataCentres int) *testNode {
	cl.t.Helper()
	client, err := appender.New(cl.url, appender.Config{
		Timeout: 500 * time.Millisecond, Backoff: appender.Backoff{Base: time.Millisecond},
	})
	require.NoError(cl.t, err)
	tn := &testNode{
		net: cl.net, log: &switchableLog{Client: client}, ended: make(chan struct{}),
		member: elector.Member{
			Node: nodeID(nn), DataCentre: checker.DataCentre(fmt.Sprint("dc", nn%dataCentres)),
		},
	}
	for ii := 1; ii <= 3 && ii < count; ii++ {
		tn.neighbours = append(tn.neighbours, nodeID((nn+ii)%count))
	}
	cf := cl.cf
	cf.Self, cf.Caller, cf.Log, cf.Members = tn.member, tn, tn.log, tn
	tn.Distributor, err = New(cf)
	require.NoError(cl.t, err)
	cl.net.mu.Lock()
	defer cl.net.mu.Unlock()
	cl.net.nodes[tn.member.Node] = tn
	return tn
}

func (tn *testNode) run() {
	ctx, cancel := context.WithCancel(context.Background())
	tn.stop = cancel
	go func() {
		defer close(tn.ended)
		_ = tn.Run(ctx)
	}()
}

// kill stops the node and marks it as dead in the membership.
func (tn *testNode) kill() {
	tn.stop()
	<-tn.ended
	tn.net.mu.Lock()
	defer tn.net.mu.Unlock()
	tn.net.dead[tn.member.Node] = true
}

// restart replaces the node by one with an empty state; the caller runs it.
func (cl *cluster) restart(old *testNode, count, dataCentres int) *testNode {
	addr := old.member.Node.Addr().As4()
	tn := cl.node(int(addr[2])<<8+int(addr[3]), count, dataCentres)
	cl.net.mu.Lock()
	delete(cl.net.dead, tn.member.Node)
	cl.net.mu.Unlock()
	return tn
}

// eventually waits for a condition. The timeout only bounds a failing test.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, 15*time.Second, 2*time.Millisecond, what)
}

func (cl *cluster) setPartition(partitioned func(aa, bb *testNode) bool) {
	cl.net.mu.Lock()
	defer cl.net.mu.Unlock()
	cl.net.partitioned = partitioned
}

// publish publishes a document on the node's current revision.
func publish(t *testing.T, tn *testNode, version checker.Version) reducer.Result {
	t.Helper()
	re, err := tn.Publish(t.Context(), reducer.Record{
		Base: tn.State().Revision(), Document: testDocument(version),
	})
	require.NoError(t, err)
	return re
}

// requireRevision waits until every node holds the revision.
func requireRevision(t *testing.T, revision checker.Revision, nodes ...*testNode) {
	t.Helper()
	for _, tn := range nodes {
		eventually(t, fmt.Sprintf("%v reaches revision %d", tn.member.Node, revision), func() bool {
			return tn.State().Revision() >= revision
		})
		require.Equal(t, revision, tn.State().Revision())
	}
}

// waitAllFresh waits until no node is stale.
func waitAllFresh(t *testing.T, nodes []*testNode) {
	t.Helper()
	eventually(t, "every node is fresh", func() bool {
		return !slices.ContainsFunc(nodes, func(tn *testNode) bool { return tn.Stale() })
	})
}

// waitReady waits until the node is ready to serve.
func waitReady(t *testing.T, tn *testNode) {
	t.Helper()
	select {
	case <-tn.Ready():
	case <-time.After(15 * time.Second):
		t.Fatalf("%v is not ready", tn.member.Node)
	}
}
