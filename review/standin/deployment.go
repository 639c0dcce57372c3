//go:build review

// Command review-standin plays the cases of the review that are scripts. It starts
// nodes as separate processes, with stand-ins for the platform's store, the targets
// and the clients, and judges only what these have seen.
package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/guavastall/guavastall/platform/standin"
)

// The bounds of a small deployment, as in the settings of yaadgar-mesh and
// magnolia-conf.
const (
	contact       = 3 * time.Second
	drain         = 2 * time.Second
	warmup        = 3 * time.Second
	warmupPerS    = 12
	warmupFactor  = 1.5
	warmupSlack   = 5
	heartbeat     = 870 * time.Millisecond
	restartDelay  = 500 * time.Millisecond
	clientTimeout = 1500 * time.Millisecond
	storeDelay    = 4 * time.Millisecond
)

// errSetup means that the case could not run.
var errSetup = errors.New("the case could not run")

// machine is a sidecar machine: a node, its target and the path between them.
type machine struct {
	name, ip, settings string
	zone               string
	port               uint16
	node               *exec.Cmd
	target             *standin.Target
	control            *controlProxy
	targetConfig       standin.TargetConfig
	nodeStarted        time.Time
}

func (ma *machine) address(offset uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr(ma.ip), ma.port+offset)
}

// The offsets of a machine's ports.
const (
	storePort = iota
	targetPort
	inboundPort
	outboundPort
	readyPort
	controlPort
	proxyPort
	metricsPort
	portCount
)

// deployment is a whole deployment on loopback addresses.
type deployment struct {
	dir      string
	store    *standin.Store
	machines []*machine
	record   *record
	servers  []*http.Server
}

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (re *record) line(format string, args ...any) {
	re.mu.Lock()
	defer re.mu.Unlock()
	_, _ = fmt.Fprintf(re.file, "%9.3f ", time.Since(re.began).Seconds())
	_, _ = fmt.Fprintf(re.file, format+"\n", args...)
}

// at formats a time as in the record.
func (re *record) at(moment time.Time) string {
	return fmt.Sprintf("%.3f s", moment.Sub(re.began).Seconds())
}

// newDeployment prepares machines in two zones whose targets are of one service.
func newDeployment(dir string, size int) (*deployment, error) {
	file, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	de := &deployment{
		dir: temp, store: standin.NewStore(), record: &record{file: file, began: time.Now()},
	}
	prefix := fmt.Sprintf("127.%d.%d.", 64+rand.IntN(128), rand.IntN(256))
	for nn := range size {
		ma := &machine{
			name: fmt.Sprintf("sidecar-%d", nn+1), ip: prefix + fmt.Sprint(nn+1),
			zone: []string{"north", "south"}[nn/2%2],
		}
		if ma.port, err = freePorts(ma.ip); err != nil {
			return nil, err
		}
		ma.settings = filepath.Join(temp, ma.name+".toml")
		ma.targetConfig = standin.TargetConfig{
			ID: fmt.Sprintf("i-%d-1", nn+1), Service: "desk", Version: "v1", DataCentre: ma.zone,
			Address: ma.address(targetPort), Control: ma.address(proxyPort), Slots: 9,
			HeartbeatInterval: heartbeat,
		}
		if err := os.WriteFile(ma.settings, []byte(ma.settingsText()), 0o600); err != nil {
			return nil, err
		}
		de.machines = append(de.machines, ma)
	}
	return de, nil
}

// freePorts returns the first of portCount ports that are free at the address.
func freePorts(ip string) (uint16, error) {
	for range 100 {
		first := uint16(12000 + rand.IntN(18000))
		free := true
		for port := first; port < first+portCount && free; port++ {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if free = err == nil; free {
				_ = listener.Close()
			}
		}
		if free {
			return first, nil
		}
	}
	return 0, fmt.Errorf("%w: no free ports at %s", errSetup, ip)
}

// settingsText returns the platform's settings file, as docs of the platform show it.
func (ma *machine) settingsText() string {
	return fmt.Sprintf(`node = %q
role = "node"
class = "sidecar"
serves = ["sidecar"]
ip = %q
zone = %q
region = "r"
internal_ports = [%d,%d]
seeds = []
bootstrap = true
discovery = "static"
entry = "static"
heartbeat = "870ms"
app_addr = %q
service = "desk"
[zones]
north = "r"
south = "r"
[listen]
inbound = %q
outbound = %q
ready = %q
control = %q
[limits]
cpu_share = 1.0
cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[tolerate]
machines = 2
zones = 1
regions = 0
[bounds]
reuse_delay = "2s"
contact = "3000ms"
ack = "4000ms"
drain = "2000ms"
grace = "6s"
loss_slack = "200ms"
converge = "2000ms"
retry_ratio = 0.2
retry_window = "10s"
retry_slack = 64
warmup_factor = 1.5
warmup_slack = 5
evac = "5000ms"
recover = "15s"
[platform]
address = %q
form = "log"
writes_per_s = 400
reads_per_s = 2000
keep = "300s"
`, ma.name, ma.ip, ma.zone, ma.port+metricsPort, ma.port+metricsPort,
		ma.address(targetPort), ma.address(inboundPort), ma.address(outboundPort),
		ma.address(readyPort), ma.address(controlPort), ma.address(storePort))
}

// start starts the store, the targets and the nodes, and waits until all nodes are
// ready and serve.
func (de *deployment) start(ctx context.Context) error {
	de.store.Put("keyed.op", "config", `{"version":"r1","routes":[
		{"name":"scan","host":"shop.example","prefix":"/scan/","kind":"idempotent",
		"timeout":"1500ms","slo":"400ms","priority":1,"service":"desk","attempts":2},
		{"name":"confirm","host":"shop.example","prefix":"/confirm/","kind":"non_idempotent",
		"timeout":"1500ms","slo":"500ms","priority":1,"service":"desk","attempts":2}],
		"services":[{"name":"desk","health_path":"/health","max_conns":130,"warmup":"3s",
		"warmup_per_s":12.0}],"limits":{"header_bytes":16384,"max_body_bytes":67108864,
		"header_timeout":"3000ms","idle_timeout":"15000ms"}}`)
	de.store.SetDelay(storeDelay)
	for _, ma := range de.machines {
		if err := de.serve(ma.address(storePort), de.store); err != nil {
			return err
		}
		ma.control = &controlProxy{to: ma.address(controlPort), record: de.record, name: ma.name}
		if err := de.serve(ma.address(proxyPort), ma.control); err != nil {
			return err
		}
		if err := de.startTarget(ma); err != nil {
			return err
		}
		if err := de.startNode(ma); err != nil {
			return err
		}
	}
	for _, ma := range de.machines {
		if err := waitFor(ctx, func() bool { return ma.knows(len(de.machines)) }); err != nil {
			return fmt.Errorf("%w: %s does not get ready", errSetup, ma.name)
		}
	}
	return nil
}

func (de *deployment) serve(address netip.AddrPort, ha http.Handler) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return err
	}
	server := &http.Server{Handler: ha, ReadHeaderTimeout: 5 * time.Second}
	de.servers = append(de.servers, server)
	go func() { _ = server.Serve(listener) }()
	return nil
}

func (de *deployment) startTarget(ma *machine) error {
	var err error
	ma.target, err = standin.StartTarget(ma.targetConfig)
	de.record.line("target %s starts at %s", ma.targetConfig.ID, ma.name)
	return err
}

// startNode starts the node's process with the command of the deploy file.
func (de *deployment) startNode(ma *machine) error {
	log, err := os.OpenFile(filepath.Join(de.dir, ma.name+".log"),
		os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	ma.node = exec.Command("target/guavastall", "sidecar")
	ma.node.Env = []string{"PATH=" + os.Getenv("PATH"), "GUAVASTALL_SETTINGS=" + ma.settings}
	ma.node.Stdout, ma.node.Stderr = log, log
	ma.nodeStarted = time.Now()
	if err := ma.node.Start(); err != nil {
		return err
	}
	de.record.line("node of %s starts, process %d", ma.name, ma.node.Process.Pid)
	return nil
}

// killNode sends SIGKILL to the node's process.
func (de *deployment) killNode(ma *machine) {
	de.record.line("node of %s is killed", ma.name)
	_ = ma.node.Process.Kill()
	_ = ma.node.Wait()
}

// stop ends everything that was started.
func (de *deployment) stop() {
	for _, ma := range de.machines {
		if ma.node != nil && ma.node.Process != nil {
			_ = ma.node.Process.Kill()
			_ = ma.node.Wait()
		}
		if ma.target != nil {
			ma.target.Stop()
		}
	}
	for _, server := range de.servers {
		_ = server.Close()
	}
	_ = de.record.file.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(de.dir)
	}
}

// knows reports whether the machine's node is ready and knows the given number of
// nodes.
func (ma *machine) knows(nodes int) bool {
	text, err := get("http://" + ma.address(metricsPort).String() + "/metrics")
	return err == nil && strings.Contains(text, fmt.Sprintf("mesh.nodes %d\n", nodes)) &&
		ma.ready()
}

func (ma *machine) ready() bool {
	_, err := get("http://" + ma.address(readyPort).String() + "/api/ready")
	return err == nil
}

func get(url string) (string, error) {
	client := &http.Client{
		Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true},
	}
	rs, err := client.Get(url)
	if err != nil {
		return "", err
	}
	defer func() { _ = rs.Body.Close() }()
	data, err := io.ReadAll(rs.Body)
	if err == nil && rs.StatusCode != http.StatusOK {
		err = errors.New(rs.Status)
	}
	return string(data), err
}

const (
	setupTimeout = 20 * time.Second
	pollInterval = 5 * time.Millisecond
)

// waitFor polls the condition.
func waitFor(ctx context.Context, condition func() bool) error {
	for end := time.Now().Add(setupTimeout); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(end) || ctx.Err() != nil {
			return errSetup
		}
	}
	return nil
}

// controlProxy is the path of a target's calls to its node. It can delay one
// heartbeat, which then arrives late.
type controlProxy struct {
	to     netip.AddrPort
	record *record
	name   string

	mu       sync.Mutex
	holdNext bool
	held     []byte
	heldPath string
}

// holdHeartbeat makes the proxy delay the next heartbeat until release.
func (cp *controlProxy) holdHeartbeat() {
	cp.mu.Lock()
	defer cp.mu.Unlock()
	cp.holdNext = true
}

func (cp *controlProxy) holds() bool {
	cp.mu.Lock()
	defer cp.mu.Unlock()
	return cp.held != nil
}

// release delivers the delayed heartbeat. It reports whether the node answered.
func (cp *controlProxy) release() bool {
	cp.mu.Lock()
	path, body := cp.heldPath, cp.held
	cp.mu.Unlock()
	status, err := cp.forward(context.Background(), http.MethodPut, path, body)
	if err != nil {
		return false
	}
	cp.record.line("the delayed heartbeat arrives at %s: %s, answer %d", cp.name, body, status)
	return true
}

// ServeHTTP implements [http.Handler].
func (cp *controlProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	cp.mu.Lock()
	hold := cp.holdNext && r.Method == http.MethodPut
	if hold {
		cp.holdNext, cp.held, cp.heldPath = false, body, r.URL.Path
	}
	cp.mu.Unlock()
	if hold {
		cp.record.line("a heartbeat to %s is delayed: %s", cp.name, body)
		<-r.Context().Done()
		return
	}
	status, err := cp.forward(r.Context(), r.Method, r.URL.Path, body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if r.Method == http.MethodDelete {
		cp.record.line("%s answers %d to DELETE %s", cp.name, status, r.URL.Path)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, "{}")
}

func (cp *controlProxy) forward(
	ctx context.Context, method, path string, body []byte,
) (int, error) {
	rq, err := http.NewRequestWithContext(ctx, method, "http://"+cp.to.String()+path,
		bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	rs, err := client.Do(rq)
	if err != nil {
		return 0, err
	}
	_ = rs.Body.Close()
	return rs.StatusCode, nil
}

// traffic is what clients send.
type traffic struct {
	cancel context.CancelFunc
	done   sync.WaitGroup
	counts [6]atomic.Int64
}

// startTraffic sends requests through each machine's node at the given rate, every
// fourth of them non-idempotent.
func (de *deployment) startTraffic(perSecond float64, machines []*machine) *traffic {
	ctx, cancel := context.WithCancel(context.Background())
	tr := &traffic{cancel: cancel}
	for _, ma := range machines {
		tr.done.Add(1)
		go func() {
			defer tr.done.Done()
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}
			ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
			defer ticker.Stop()
			for number := 0; ; number++ {
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
				}
				tr.done.Add(1)
				go func() {
					defer tr.done.Done()
					de.send(tr, client, ma, number)
				}()
			}
		}()
	}
	return tr
}

func (de *deployment) send(tr *traffic, client *http.Client, ma *machine, number int) {
	method, path := http.MethodGet, "/scan/a"
	if number%4 == 0 {
		method, path = http.MethodPost, "/confirm/a"
	}
	id := fmt.Sprintf("%s-%d-%x", ma.name, number, rand.Uint32())
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, method,
		"http://"+ma.address(outboundPort).String()+path, nil)
	if err != nil {
		return
	}
	rq.Host = "shop.example"
	rq.Header.Set("X-Request-Id", id)
	rq.Header.Set("X-Deadline-Ms", fmt.Sprint(clientTimeout.Milliseconds()))
	de.record.line("sent %s %s %s to %s", id, method, path, ma.name)
	rs, err := client.Do(rq)
	if err != nil {
		tr.counts[0].Add(1)
		de.record.line("answered %s: %v", id, err)
		return
	}
	defer func() { _ = rs.Body.Close() }()
	_, err = io.Copy(io.Discard, rs.Body)
	tr.counts[rs.StatusCode/100].Add(1)
	de.record.line("answered %s: %d %v", id, rs.StatusCode, err)
}

// stop ends the traffic and waits for the requests in flight.
func (tr *traffic) stop() {
	tr.cancel()
	tr.done.Wait()
}

func (tr *traffic) String() string {
	return fmt.Sprintf("clients got %d x 2xx, %d x 4xx, %d x 5xx, %d x no answer",
		tr.counts[2].Load(), tr.counts[4].Load(), tr.counts[5].Load(), tr.counts[0].Load())
}
