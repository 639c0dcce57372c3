package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/guavastall/guavastall/internal/logserver"
	"github.com/guavastall/guavastall/internal/targetserver"
	"github.com/guavastall/guavastall/pkg/checker"
	"github.com/guavastall/guavastall/pkg/operator"
)

// binaries holds the paths of the programs under test. TestMain builds them once.
var binaries struct {
	node, standin string
}

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "guavastall")
	if err != nil {
		panic(err)
	}
	binaries.node = filepath.Join(dir, "guavastall")
	binaries.standin = filepath.Join(dir, "guavastall-standin")
	for path, pkg := range map[string]string{
		binaries.node: ".", binaries.standin: "../guavastall-standin",
	} {
		if out, err := exec.Command("go", "build", "-o", path, pkg).CombinedOutput(); err != nil {
			panic(fmt.Sprintf("build %s: %v\n%s", pkg, err, out))
		}
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is a program started by a test.
type process struct {
	t    *testing.T
	args []string
	cmd  *exec.Cmd
	out  *bytes.Buffer
	done chan struct{}
}

// start starts a program and kills it when the test ends.
func start(t *testing.T, path string, args ...string) *process {
	pr := &process{t: t, args: append([]string{path}, args...)}
	pr.restart()
	t.Cleanup(func() {
		pr.kill()
		if t.Failed() {
			t.Logf("%s\n%s", strings.Join(pr.args, " "), tail(pr.out.String(), 4000))
		}
	})
	return pr
}

func tail(text string, length int) string {
	return text[max(0, len(text)-length):]
}

// restart starts the program again after it has ended.
func (pr *process) restart() {
	pr.out = &bytes.Buffer{}
	pr.cmd = exec.Command(pr.args[0], pr.args[1:]...)
	pr.cmd.Stdout, pr.cmd.Stderr = pr.out, pr.out
	require.NoError(pr.t, pr.cmd.Start())
	done := make(chan struct{})
	pr.done = done
	cmd := pr.cmd
	go func() {
		defer close(done)
		_ = cmd.Wait()
	}()
}

func (pr *process) signal(sig os.Signal) {
	_ = pr.cmd.Process.Signal(sig)
}

// kill sends SIGKILL and waits for the end of the process.
func (pr *process) kill() {
	pr.signal(syscall.SIGKILL)
	<-pr.done
}

// stop sends SIGTERM, waits for the end of the process and returns its exit code.
func (pr *process) stop() int {
	pr.signal(syscall.SIGTERM)
	select {
	case <-pr.done:
	case <-time.After(60 * time.Second):
		pr.kill()
		pr.t.Errorf("%s did not stop within 60 s of SIGTERM", pr.args[0])
	}
	return pr.cmd.ProcessState.ExitCode()
}

// mesh is a deployment of separate processes on loopback addresses. Node n of
// data centre d listens on 127.1.d.n. Other nodes reach it through a proxy on
// 127.2.d.n, and it reaches the log through a proxy on 127.3.d.1, so that the
// test can close links or drop their bytes.
type mesh struct {
	t     *testing.T
	log   *process
	logAt netip.AddrPort
	links *links
	nodes []*meshNode
	// program is the program that runs the nodes.
	program string
}

// meshNode is a node and its target, each running in its own process.
type meshNode struct {
	*process
	dc         int
	target     *process
	targetAt   netip.AddrPort
	listen     netip.AddrPort
	callers    netip.AddrPort
	operatorAt netip.AddrPort
	operator   *operator.Client
}

var dataCentreNames = []checker.DataCentre{"lahore", "multan", "sialkot"}

// The ports of the processes are below the ephemeral port range. Otherwise an
// outgoing connection could use a port before the process listens on it.
const (
	firstPort = 20_000
	portCount = 10_000
)

var nextPort atomic.Int64

// freePort returns a port that is currently free on the IP address.
func freePort(t *testing.T, ip string) netip.AddrPort {
	// A process forked in the meantime would keep the socket open until its exec.
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	for range portCount {
		port := firstPort + (int64(os.Getpid())*97+nextPort.Add(1))%portCount
		ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			continue
		}
		addr := netip.MustParseAddrPort(ln.Addr().String())
		require.NoError(t, ln.Close())
		return addr
	}
	require.Fail(t, "no free port", ip)
	return netip.AddrPort{}
}

func newMesh(t *testing.T, logArgs ...string) *mesh {
	me := &mesh{
		t: t, logAt: freePort(t, "127.0.0.1"), links: newLinks(t), program: binaries.node,
	}
	args := append([]string{"log", "--listen", me.logAt.String()}, logArgs...)
	me.log = start(t, binaries.standin, args...)
	for dc := range dataCentreNames {
		me.links.open(logEndpoint, dc, freePort(t, fmt.Sprintf("127.3.%d.1", dc+1)), me.logAt)
	}
	return me
}

// add starts a node of the tag service with a target in the data centre.
func (me *mesh) add(dc int, version string, targetArgs ...string) *meshNode {
	t, nn := me.t, len(me.nodes)+1
	no := &meshNode{dc: dc, targetAt: freePort(t, "127.0.0.1")}
	no.target = start(t, binaries.standin, append([]string{
		"target", "--listen", no.targetAt.String(), "--target-version", version,
	}, targetArgs...)...)
	no.listen = freePort(t, fmt.Sprintf("127.1.%d.%d", dc+1, nn))
	advertise := freePort(t, fmt.Sprintf("127.2.%d.%d", dc+1, nn))
	me.links.open(dc, anyEndpoint, advertise, no.listen)
	no.callers = freePort(t, "127.0.0.1")
	no.operatorAt = freePort(t, "127.0.0.1")
	args := []string{
		"node", "--data-centre", string(dataCentreNames[dc]), "--region", "punjab",
		"--listen", no.listen.String(), "--advertise", advertise.String(),
		"--caller-listen", no.callers.String(), "--operator-listen", no.operatorAt.String(),
		"--service", "tag", "--target-version", version, "--target", no.targetAt.String(),
		"--platform-log", me.links.address(logEndpoint, dc).String(),
	}
	for _, other := range me.nodes {
		args = append(args, "--seed", me.links.advertisedBy(other).String())
	}
	no.operator = operator.New(no.operatorAt, "", 10*time.Second)
	no.process = start(t, me.program, args...)
	me.nodes = append(me.nodes, no)
	return no
}

// awaitAlive waits until every running node knows this number of nodes as alive.
func (me *mesh) awaitAlive(alive int) {
	begun := time.Now()
	defer func() {
		me.t.Logf("membership converged after %v", time.Since(begun).Round(time.Millisecond))
	}()
	require.Eventually(me.t, func() bool {
		for _, no := range me.nodes {
			if !no.running() {
				continue
			}
			view, err := no.operator.Mesh(me.t.Context())
			count := 0
			for _, dc := range view.DataCentres {
				count += dc.Alive
			}
			if err != nil || count != alive {
				return false
			}
		}
		return true
	}, 60*time.Second, 50*time.Millisecond, "nodes do not know all others as alive")
}

// awaitDead waits until every running node knows this number of nodes as alive
// and suspects none, so that it considers all others dead.
func (me *mesh) awaitDead(alive int) {
	require.Eventually(me.t, func() bool {
		for _, no := range me.nodes {
			if !no.running() {
				continue
			}
			view, err := no.operator.Mesh(me.t.Context())
			states := map[string]int{}
			for _, mb := range view.Members {
				states[mb.State]++
			}
			if err != nil || states["alive"] != alive || states["suspect"] != 0 {
				return false
			}
		}
		return true
	}, 30*time.Second, 50*time.Millisecond, "a killed node is not considered dead")
}

func (pr *process) running() bool {
	select {
	case <-pr.done:
		return false
	default:
		return true
	}
}

// publish publishes the example document and waits until it is in force
// everywhere.
func (me *mesh) publish() checker.Revision {
	doc, err := readDocument("../../examples/yaadgar.json")
	require.NoError(me.t, err)
	cl := me.nodes[0].operator
	ac, err := cl.Publish(me.t.Context(), operator.Publication{ID: uuid.NewString(), Document: doc})
	require.NoError(me.t, err)
	me.awaitConvergence(cl, ac.Revision)
	return ac.Revision
}

// awaitConvergence waits until the revision is in force everywhere, at most for
// the 13 s that the users require.
func (me *mesh) awaitConvergence(cl *operator.Client, re checker.Revision) {
	ctx, cancel := context.WithTimeout(me.t.Context(), 13*time.Second)
	defer cancel()
	co, err := cl.Wait(ctx, re)
	require.NoError(me.t, err, "%+v", co)
}

// choose changes the profile or version of the tag service through the node.
func (me *mesh) choose(no *meshNode, ch operator.Choice) operator.Accepted {
	conf, err := no.operator.Configuration(me.t.Context())
	require.NoError(me.t, err)
	ch.ID, ch.Base, ch.Service = uuid.NewString(), conf.Revision, "tag"
	ac, err := no.operator.Choose(me.t.Context(), ch)
	require.NoError(me.t, err)
	return ac
}

// setLogFaults sets the faults that the log simulates.
func (me *mesh) setLogFaults(fa logserver.Faults) {
	post(me.t, me.logAt, "/faults", fa)
}

func post(t *testing.T, addr netip.AddrPort, path string, value any) {
	data, err := json.Marshal(value)
	require.NoError(t, err)
	resp, err := http.Post("http://"+addr.String()+path, "application/json", bytes.NewReader(data))
	require.NoError(t, err)
	body, _ := io.ReadAll(resp.Body)
	require.NoError(t, resp.Body.Close())
	require.Less(t, resp.StatusCode, 300, "%s", body)
}

// executions returns how many calls the node's target ran and which of them it
// ran more than once.
func (no *meshNode) executions(t *testing.T) targetserver.Executions {
	resp, err := http.Get("http://" + no.targetAt.String() + "/executions")
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	var ex targetserver.Executions
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&ex))
	return ex
}

// Ends of links other than the index of a data centre.
const (
	logEndpoint = -1
	anyEndpoint = -2
)

// linkState determines how a link treats the bytes of one direction.
type linkState int

const (
	linkUp linkState = iota
	linkDown
	linkDropping
)

// links are TCP proxies. A test sets the state of their connections by the data
// centres at both ends.
type links struct {
	t         *testing.T
	mu        sync.Mutex
	states    map[[2]int]linkState
	addresses map[[2]int]netip.AddrPort
	conns     map[[2]int][]net.Conn
}

func newLinks(t *testing.T) *links {
	return &links{
		t: t, states: map[[2]int]linkState{}, addresses: map[[2]int]netip.AddrPort{},
		conns: map[[2]int][]net.Conn{},
	}
}

// open starts a proxy that listens on the address and forwards to the target. Its
// connections end at "to"; their origin follows from their source IP address.
func (li *links) open(to, from int, at, target netip.AddrPort) {
	ln, err := net.Listen("tcp", at.String())
	require.NoError(li.t, err)
	li.t.Cleanup(func() { _ = ln.Close() })
	li.mu.Lock()
	li.addresses[[2]int{to, from}] = at
	li.mu.Unlock()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go li.relay(conn, to, target)
		}
	}()
}

func (li *links) address(to, from int) netip.AddrPort {
	li.mu.Lock()
	defer li.mu.Unlock()
	return li.addresses[[2]int{to, from}]
}

func (li *links) advertisedBy(no *meshNode) netip.AddrPort {
	for nn, arg := range no.args {
		if arg == "--advertise" {
			return netip.MustParseAddrPort(no.args[nn+1])
		}
	}
	return netip.AddrPort{}
}

// dataCentreOf returns the index of the data centre that a connection comes from.
func dataCentreOf(conn net.Conn) int {
	addr := netip.MustParseAddrPort(conn.RemoteAddr().String()).Addr().As4()
	return int(addr[2]) - 1
}

func (li *links) relay(conn net.Conn, to int, target netip.AddrPort) {
	defer func() { _ = conn.Close() }()
	key := [2]int{dataCentreOf(conn), to}
	if li.state(key) == linkDown {
		return
	}
	peer, err := net.Dial("tcp", target.String())
	if err != nil {
		return
	}
	defer func() { _ = peer.Close() }()
	li.mu.Lock()
	li.conns[key] = append(li.conns[key], conn, peer)
	li.mu.Unlock()
	done := make(chan struct{}, 2)
	go li.copy(peer, conn, key, done)
	go li.copy(conn, peer, [2]int{key[1], key[0]}, done)
	<-done
}

// copy forwards bytes from one connection to the other. While the direction is in
// linkDropping, it discards them and keeps the connection open.
func (li *links) copy(to, from net.Conn, key [2]int, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, 32<<10)
	for {
		nn, err := from.Read(buf)
		if err != nil {
			return
		}
		if li.state(key) == linkDropping {
			continue
		}
		if _, err := to.Write(buf[:nn]); err != nil {
			return
		}
	}
}

func (li *links) state(key [2]int) linkState {
	li.mu.Lock()
	defer li.mu.Unlock()
	return li.states[key]
}

// set changes the state of one direction. linkDown also closes the open
// connections.
func (li *links) set(from, to int, state linkState) {
	li.mu.Lock()
	defer li.mu.Unlock()
	key := [2]int{from, to}
	li.states[key] = state
	if state != linkDown {
		return
	}
	for _, conn := range li.conns[key] {
		_ = conn.Close()
	}
	delete(li.conns, key)
}

// setBoth changes the state of both directions.
func (li *links) setBoth(from, to int, state linkState) {
	li.set(from, to, state)
	li.set(to, from, state)
}

// logRequests returns the number of requests that the node has sent to the log,
// or 0 if the node does not report it.
func (no *meshNode) logRequests() int64 {
	resp, err := http.Get("http://" + no.operatorAt.String() + operator.PathMetrics)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	var all map[string]struct {
		Value int64 `json:"value"`
	}
	if json.NewDecoder(resp.Body).Decode(&all) != nil {
		return 0
	}
	return all["log.requests"].Value
}

// executionsOf returns how often the node's target ran the call with the ID.
func (no *meshNode) executionsOf(t *testing.T, id string) int {
	resp, err := http.Get("http://" + no.targetAt.String() + "/executions?id=" + id)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	var ex targetserver.Executions
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&ex))
	return ex.Count
}
