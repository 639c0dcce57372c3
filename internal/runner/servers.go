package runner

import (
	"net"
	"net/http"
	"time"

	"github.com/guavastall/guavastall/internal/commander"
	"github.com/guavastall/guavastall/internal/connlimiter"
	"github.com/guavastall/guavastall/internal/forwarder"
)

const (
	// operatorReadTimeout limits the time to read an operator's request.
	operatorReadTimeout = 10 * time.Second
	// operatorIdleTimeout is how long an operator's connection may be idle.
	operatorIdleTimeout = time.Minute
	// operatorHeaderBytes bounds the header of an operator's request.
	operatorHeaderBytes = 16 << 10
	// peerConnShare and callerConnShare are the shares of the descriptors and of the
	// memory that connections of other nodes and of callers may use. With the default
	// memory limit, 750 nodes can have two connections each.
	peerConnShare   = 0.55
	callerConnShare = 0.25
	// maxOperatorConns bounds the connections of operators.
	maxOperatorConns = 64
)

// servers are the HTTP servers of a node.
type servers struct {
	peers, callers *forwarder.Server
	operators      *http.Server
}

func (no *Node) newServers() servers {
	peers := no.forwarder.Peers()
	mux := http.HandlerFunc(func(wr http.ResponseWriter, req *http.Request) {
		if req.Method == http.MethodConnect {
			no.links.ServeHTTP(wr, req)
			return
		}
		peers.ServeHTTP(wr, req)
	})
	commands := commander.New(commander.Config{
		Token: no.settings.Token, Node: no, Metrics: no.metrics, Log: no.log, Now: no.now,
	})
	operators := &http.Server{
		Handler: commands, ReadHeaderTimeout: operatorReadTimeout,
		ReadTimeout: operatorReadTimeout, IdleTimeout: operatorIdleTimeout,
		MaxHeaderBytes: operatorHeaderBytes,
	}
	connlimiter.Attach(operators)
	return servers{
		peers:     forwarder.NewServer(mux, nil),
		callers:   forwarder.NewServer(no.forwarder.Callers(), nil),
		operators: operators,
	}
}

// limitListeners returns the listeners with limits on connections and heads.
func (no *Node) limitListeners(ls Listeners) Listeners {
	bu := connlimiter.NewBudget(0, no.settings.MemoryLimit)
	limit := func(ln net.Listener, name string, maxConns int) net.Listener {
		return connlimiter.New(ln, connlimiter.Config{
			Name: name, MaxConns: maxConns, MaxHeadMemory: bu.HeadMemory(),
			Log: no.log, Metrics: no.metrics, Now: no.now,
		})
	}
	return Listeners{
		Peers:     limit(ls.Peers, "peers", bu.Conns(peerConnShare)),
		Callers:   limit(ls.Callers, "callers", bu.Conns(callerConnShare)),
		Operators: limit(ls.Operators, "operators", maxOperatorConns),
	}
}
