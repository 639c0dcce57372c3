package gossiper

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavastall/guavastall/internal/aggregator"
	"github.com/guavastall/guavastall/internal/detector"
	"github.com/guavastall/guavastall/internal/linker"
	"github.com/guavastall/guavastall/pkg/checker"
)

// The aggregator uses the gossiper and the pool through these interfaces.
var (
	_ aggregator.Gossip = (*Gossiper)(nil)
	_ aggregator.Caller = (*linker.Pool)(nil)
)

// testNode is a node that communicates over loopback sockets.
type testNode struct {
	*Gossiper
	id      checker.NodeID
	pool    *linker.Pool
	server  *linker.Server
	http    *http.Server
	traffic *linker.Traffic
	cancel  context.CancelFunc
	ended   <-chan struct{}
}

// listen opens a listener. The zero address selects a free port.
func listen(t *testing.T, at checker.NodeID) net.Listener {
	if !at.IsValid() {
		at = netip.MustParseAddrPort("127.0.0.1:0")
	}
	var ln net.Listener
	require.Eventually(t, func() bool {
		var err error
		ln, err = net.Listen("tcp", at.String())
		return err == nil
	}, 5*time.Second, 10*time.Millisecond)
	return ln
}

// start starts a node whose detector intervals are shorter than the defaults,
// most of them by a factor of five.
func start(t *testing.T, ln net.Listener, dc checker.DataCentre, seeds []checker.NodeID,
	dial func(context.Context, checker.NodeID) (net.Conn, error),
) *testNode {
	id := netip.MustParseAddrPort(ln.Addr().String())
	tr := &linker.Traffic{}
	lc := linker.Config{Traffic: tr, Dial: dial, Secret: "shared"}
	no := &testNode{id: id, traffic: tr, pool: linker.New(lc), server: linker.NewServer(lc)}
	no.Gossiper = New(Config{
		Self: detector.Member{Node: id, DataCentre: dc, Region: "r", Service: "tag", Version: "v1"},
		Detector: detector.Config{
			Random: rand.New(rand.NewPCG(uint64(id.Port()), 1)), Seeds: seeds,
			ProbeInterval: 200 * time.Millisecond, UrgentInterval: 40 * time.Millisecond,
			SuspicionTimeout: time.Second, ExchangeInterval: 2 * time.Second,
			MaxRetryInterval: 2 * time.Second, JoinInterval: 200 * time.Millisecond,
		},
		TickInterval: 20 * time.Millisecond,
	}, no.pool)
	require.NoError(t, no.server.Register(Name, no.Receiver()))
	no.http = &http.Server{Handler: no.server}
	go func() { _ = no.http.Serve(ln) }()
	ctx, cancel := context.WithCancel(context.Background())
	no.cancel, no.ended = cancel, no.Start(ctx)
	t.Cleanup(no.stop)
	return no
}

// stop stops a node without an announcement to the others.
func (no *testNode) stop() {
	no.cancel()
	<-no.ended
	_ = no.http.Close()
	no.pool.Close()
	no.server.Close()
}

// states returns the number of members in each state, as known to the node.
func (no *testNode) states() map[detector.State]int {
	counts := map[detector.State]int{}
	members, _ := no.Members()
	for _, me := range members {
		counts[me.State]++
	}
	return counts
}

func requireAlive(t *testing.T, nodes []*testNode, want int, what string) time.Duration {
	begun := time.Now()
	require.Eventually(t, func() bool {
		return !slices.ContainsFunc(nodes, func(no *testNode) bool {
			return no.states()[detector.Alive] != want
		})
	}, 30*time.Second, 20*time.Millisecond, what)
	return time.Since(begun)
}

// Guards against nodes that do not find each other, that do not detect when
// others die or leave, or whose goroutines do not end.
func TestMassRestartRejoins(t *testing.T) {
	count := 20
	if testing.Short() {
		count = 10
	}
	var listeners []net.Listener
	var seeds []checker.NodeID
	for range count {
		listeners = append(listeners, listen(t, checker.NodeID{}))
		seeds = append(seeds, netip.MustParseAddrPort(listeners[len(listeners)-1].Addr().String()))
	}
	dcs := []checker.DataCentre{"north", "south"}
	var nodes []*testNode
	for nn, ln := range listeners {
		nodes = append(nodes, start(t, ln, dcs[nn%2], seeds[:2], nil))
	}
	t.Logf("%d nodes joined after %v", count, requireAlive(t, nodes, count, "join"))
	fifth := count / 5
	for _, no := range nodes[fifth:] {
		no.stop()
	}
	t.Logf("80%% known as dead after %v", requireAlive(t, nodes[:fifth], fifth, "death"))
	for nn := fifth; nn < count; nn++ {
		nodes[nn] = start(t, listen(t, seeds[nn]), dcs[nn%2], seeds[:2], nil)
	}
	t.Logf("restarted nodes joined after %v", requireAlive(t, nodes, count, "restart"))

	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	nodes[1].Drain()
	require.NoError(t, nodes[1].Leave(ctx))
	nodes[1].stop()
	rest := slices.Delete(slices.Clone(nodes), 1, 2)
	requireAlive(t, rest, count-1, "leave")
	for _, no := range rest {
		require.Zero(t, no.states()[detector.Dead], "a leaving node was declared dead")
	}
}

// stallingDialer opens connections that silently discard writes once the
// generation has been incremented.
type stallingDialer struct {
	generation atomic.Int64
}

type stallingConn struct {
	net.Conn
	dialer     *stallingDialer
	generation int64
}

func (sd *stallingDialer) dial(ctx context.Context, node checker.NodeID) (net.Conn, error) {
	var di net.Dialer
	conn, err := di.DialContext(ctx, "tcp", node.String())
	return &stallingConn{Conn: conn, dialer: sd, generation: sd.generation.Load()}, err
}

func (sc *stallingConn) Write(buf []byte) (int, error) {
	if sc.generation != sc.dialer.generation.Load() {
		return len(buf), nil // lost, as on a broken network path
	}
	return sc.Conn.Write(buf)
}

// Guards against false suspicions when existing connections lose all data
// without an error while new connections work.
func TestSilentLinks(t *testing.T) {
	var dialer stallingDialer
	first, second, third := listen(t, checker.NodeID{}), listen(t, checker.NodeID{}), listen(t, checker.NodeID{})
	seeds := []checker.NodeID{netip.MustParseAddrPort(second.Addr().String())}
	nodes := []*testNode{
		start(t, first, "north", seeds, dialer.dial), start(t, second, "north", nil, nil),
		start(t, third, "north", seeds, nil),
	}
	requireAlive(t, nodes, 3, "join")
	incarnations := make([]detector.Incarnation, len(nodes))
	for nn, no := range nodes {
		incarnations[nn] = no.Self().Incarnation
	}
	dialer.generation.Add(1)
	out := nodes[0].traffic.Out()
	require.Eventually(t, func() bool { return nodes[0].traffic.Out() > out+2000 },
		10*time.Second, 20*time.Millisecond, "the connections were not replaced")
	for nn, no := range nodes {
		require.Equal(t, 3, no.states()[detector.Alive])
		require.Equal(t, incarnations[nn], no.Self().Incarnation, "a suspicion had to be refuted")
	}
}

// Guards against malformed messages that change the members or stop the node.
func TestMalformedMessages(t *testing.T) {
	no := start(t, listen(t, checker.NodeID{}), "north", nil, nil)
	pool := linker.New(linker.Config{Secret: "shared"})
	defer pool.Close()
	var ping PingMessage
	for _, ms := range []PingMessage{
		{}, {From: no.id, Members: []byte{9, 9}}, {From: no.id, Notes: make([]detector.Note, maxNotes+1)},
	} {
		require.Error(t, pool.Call(t.Context(), no.id, Name+".Ping", ms, &ping))
	}
	var offer ExchangeMessage
	for _, ms := range []ExchangeMessage{
		{}, {Members: []byte{1}}, {Buckets: make([]uint32, maxBuckets+1)},
	} {
		require.Error(t, pool.Call(t.Context(), no.id, Name+".Exchange", ms, &offer))
	}
	var via ViaAnswer
	require.Error(t, pool.Call(t.Context(), no.id, Name+".PingVia", ViaRequest{}, &via))
	require.Equal(t, map[detector.State]int{detector.Alive: 1}, no.states())
}

// FuzzMessages guards against messages that make the decoders or the detector
// panic.
func FuzzMessages(f *testing.F) {
	self := detector.Member{Node: netip.MustParseAddrPort("127.0.0.1:1"), DataCentre: "north"}
	f.Add([]byte{}, []byte{}, "key", uint64(1))
	f.Add(detector.EncodeMembers([]detector.Member{self}), []byte{1, 2, 3}, "key", uint64(1))
	f.Fuzz(func(t *testing.T, members, data []byte, key string, number uint64) {
		now := time.Unix(1_800_000_000, 0)
		de := detector.New(self, detector.Config{}, now)
		notes := []detector.Note{{Key: key, Epoch: number, Data: data}}
		buckets := make([]uint32, len(data))
		of, err := decodeOffer(ExchangeMessage{
			Digest: number, Buckets: buckets, Members: members, Notes: notes, Round: int(number),
		})
		if err == nil {
			_ = encodeOffer(de.HandleOffer(of, now))
			de.HandleOfferAnswer(detector.Action{Target: self.Node}, of, now)
		}
		ms, err := decodePing(PingMessage{
			From: self.Node, Incarnation: number, Digest: number, Members: members, Notes: notes,
		})
		if err == nil {
			_ = encodePing(de.HandlePing(ms, now))
		}
		de.Tick(now.Add(time.Second))
	})
}

// Guards against a failed node that stays unsuspected for several rounds of probes,
// because the answer of a helper that cannot reach it arrives too late.
func TestHelperReportsSilentTarget(t *testing.T) {
	silent := listen(t, checker.NodeID{}) // accepts connections and never answers
	defer func() { _ = silent.Close() }()
	target := netip.MustParseAddrPort(silent.Addr().String())
	lnA, lnB := listen(t, checker.NodeID{}), listen(t, checker.NodeID{})
	seeds := []checker.NodeID{netip.MustParseAddrPort(lnA.Addr().String())}
	aa, bb := start(t, lnA, "north", seeds, nil), start(t, lnB, "north", seeds, nil)
	requireAlive(t, []*testNode{aa, bb}, 2, "join")
	require.Eventually(t, func() bool {
		return slices.Contains(aa.Neighbours(), bb.id)
	}, 5*time.Second, 10*time.Millisecond, "the helper has an open connection")
	reached, err := aa.askHelper(t.Context(), bb.id, target)
	require.NoError(t, err, "the helper answers in time")
	require.False(t, reached)
}
