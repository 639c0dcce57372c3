package distributor

import (
	"context"
	"flag"
	"net"
	"net/netip"
	"net/rpc"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavastall/guavastall/internal/appender"
	"github.com/guavastall/guavastall/internal/elector"
	"github.com/guavastall/guavastall/internal/logserver"
	"github.com/guavastall/guavastall/internal/relayer"
	"github.com/guavastall/guavastall/pkg/checker"
)

var fleet = flag.Int("fleet", 0, "number of nodes in TestFleet; zero skips it")

// neighboursOf returns the neighbours of a node as docs/design.md specifies
// them: three nodes of its data centre and one of another.
func neighboursOf(self elector.Member, all []elector.Member) []checker.NodeID {
	var own, others []checker.NodeID
	for _, me := range all {
		switch {
		case me.Node == self.Node:
		case me.DataCentre == self.DataCentre:
			own = append(own, me.Node)
		default:
			others = append(others, me.Node)
		}
	}
	return append(elector.Owners("own"+self.Node.String(), own, 3),
		elector.Owners("other"+self.Node.String(), others, 1)...)
}

// TestFleet measures a fleet with the default settings in real time: the log
// requests after a mass restart in which no node knows another member, the log
// requests of an idle fleet, and the time until all nodes hold a publication.
func TestFleet(t *testing.T) {
	if *fleet == 0 {
		t.Skip("run with -fleet 750")
	}
	const dataCentres = 9
	cl := newCluster(t, logserver.Config{})
	cl.cf = Config{Tick: time.Second}
	var nodes []*testNode
	var members []elector.Member
	for ii := range *fleet {
		nodes = append(nodes, cl.node(ii, *fleet, dataCentres))
		members = append(members, nodes[ii].member)
	}
	for _, tn := range nodes {
		tn.neighbours = neighboursOf(tn.member, members)
		tn.known = map[checker.NodeID]bool{tn.member.Node: true}
	}
	started := time.Now()
	for _, tn := range nodes {
		tn.run()
	}
	require.Eventually(t, func() bool {
		return !slices.ContainsFunc(nodes, func(tn *testNode) bool { return tn.Stale() })
	}, time.Minute, 20*time.Millisecond)
	stats := cl.log.Stats()
	t.Logf("%d nodes fresh after %v; peak of %d log requests in a second, %d in all",
		*fleet, time.Since(started).Round(100*time.Millisecond), stats.Peak, stats.Reads+stats.Appends)
	time.Sleep(15 * time.Second)
	cl.log.ResetStats()
	time.Sleep(10 * time.Second)
	stats = cl.log.Stats()
	t.Logf("idle: %.1f log reads and %.1f log appends per second, peak %d",
		float64(stats.Reads)/10, float64(stats.Appends)/10, stats.Peak)
	for _, version := range []checker.Version{"v1", "v2", "v3"} {
		started = time.Now()
		last := publish(t, nodes[0], version)
		published := time.Since(started)
		var half time.Duration
		require.Eventually(t, func() bool {
			behind := 0
			for _, tn := range nodes {
				if tn.State().Revision() < last.Revision {
					behind++
				}
			}
			if behind <= len(nodes)/2 && half == 0 {
				half = time.Since(started)
			}
			return behind == 0
		}, time.Minute, time.Millisecond)
		t.Logf("%s: published after %v, at half of the nodes after %v, at all after %v", version,
			published.Round(time.Millisecond), half.Round(time.Millisecond),
			time.Since(started).Round(time.Millisecond))
	}
}

// rpcCaller calls each other node over one connection.
type rpcCaller struct {
	clients map[checker.NodeID]*rpc.Client
}

func (rc *rpcCaller) Call(ctx context.Context, node checker.NodeID, method string, args, reply any) error {
	select {
	case ca := <-rc.clients[node].Go(method, args, reply, make(chan *rpc.Call, 1)).Done:
		return ca.Error
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Guards against methods or messages that net/rpc cannot register or encode.
func TestOverNetRPC(t *testing.T) {
	cl := newCluster(t, logserver.Config{})
	var members []elector.Member
	var listeners []net.Listener
	for range 2 {
		li, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer func() { require.NoError(t, li.Close()) }()
		listeners = append(listeners, li)
		node := netip.MustParseAddrPort(li.Addr().String())
		members = append(members, elector.Member{Node: node, DataCentre: "dc0"})
	}
	var nodes []*testNode
	for ii, li := range listeners {
		client, err := appender.New(cl.url, appender.Config{})
		require.NoError(t, err)
		tn := &testNode{
			net: cl.net, member: members[ii], log: &switchableLog{Client: client},
			neighbours: []checker.NodeID{members[1-ii].Node}, ended: make(chan struct{}),
		}
		other, err := net.Dial("tcp", members[1-ii].Node.String())
		require.NoError(t, err)
		caller := &rpcCaller{clients: map[checker.NodeID]*rpc.Client{members[1-ii].Node: rpc.NewClient(other)}}
		defer func() { require.NoError(t, caller.clients[members[1-ii].Node].Close()) }()
		cf := cl.cf
		cf.Self, cf.Caller, cf.Log, cf.Members = members[ii], caller, tn.log, tn
		tn.Distributor, err = New(cf)
		require.NoError(t, err)
		server := rpc.NewServer()
		require.NoError(t, server.RegisterName("Distributor", tn.Receiver()))
		go func() {
			for {
				conn, err := li.Accept()
				if err != nil {
					return
				}
				go server.ServeConn(conn)
			}
		}()
		cl.net.nodes[members[ii].Node] = tn
		nodes = append(nodes, tn)
	}
	// The second node receives records only from the first.
	nodes[1].log.setDown(true)
	for _, tn := range nodes {
		tn.run()
	}
	waitAllFresh(t, nodes)
	last := publish(t, nodes[0], "v1")
	requireRevision(t, last.Revision, nodes...)
	require.True(t, nodes[1].Join(mark(nodes[1].State(), "dc1", true)))
	eventually(t, "the mark is received", func() bool { return nodes[0].State().Out("dc1") })
	var re relayer.Reply
	pull := relayer.Pull{From: members[1].Node, Records: true}
	require.NoError(t, nodes[1].config.Caller.Call(t.Context(), members[0].Node, "Distributor.Pull", pull, &re))
	require.NotEmpty(t, re.Records)
}
