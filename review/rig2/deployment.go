//go:build review2

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/guavastall/guavastall/platform/standin"
)

// The bounds of the deployment, as in the users' site files.
const (
	drainBound   = 2 * time.Second
	contactBound = 3 * time.Second
	graceBound   = 6 * time.Second
)

// The ports of a machine, as offsets from a common base.
const (
	portStore = iota
	portEndpoint
	portInbound
	portOutbound
	portReady
	portControl
	portInternal
	portCount = portInternal + 4
)

// deployment is a small deployment on loopback addresses: a store, machines with a node
// process each, and their endpoints.
type deployment struct {
	dir      string
	program  string
	basePort int
	subnet   int
	store    *standin.Store
	machines []*machine
	// endpoints are all incarnations that were started.
	endpoints []*endpoint
	record    *record
}

// machine is one machine with its node process.
type machine struct {
	de       *deployment
	ip       string
	zone     string
	service  string
	settings string
	process  *exec.Cmd
	exited   chan struct{}
}

// newDeployment returns a deployment without machines. Its files are in a temporary folder.
func newDeployment(re *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	de := &deployment{
		dir: dir, program: "target/guavastall", store: standin.NewStore(), record: re,
		subnet: 1 + os.Getpid()%250,
	}
	de.basePort, err = de.findPorts()
	return de, err
}

// findPorts returns the first of portCount adjacent free ports of the subnet's first
// address.
func (de *deployment) findPorts() (int, error) {
	for base := 20000; base < 30000; base += portCount {
		free := true
		for offset := range portCount {
			listener, err := net.Listen("tcp", fmt.Sprintf("127.92.%d.1:%d", de.subnet, base+offset))
			if err != nil {
				free = false
				break
			}
			_ = listener.Close()
		}
		if free {
			return base, nil
		}
	}
	return 0, fmt.Errorf("no free ports")
}

func (ma *machine) address(port int) string {
	return fmt.Sprintf("%s:%d", ma.ip, ma.de.basePort+port)
}

// addMachine adds a machine and writes its settings.
func (de *deployment) addMachine(zone, service string) (*machine, error) {
	ma := &machine{
		de: de, zone: zone, service: service,
		ip: fmt.Sprintf("127.92.%d.%d", de.subnet, len(de.machines)+1),
	}
	listener, err := net.Listen("tcp", ma.address(portStore))
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: de.store, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	ma.settings = filepath.Join(de.dir, ma.ip+".toml")
	de.machines = append(de.machines, ma)
	return ma, ma.writeSettings()
}

func (ma *machine) writeSettings() error {
	text := fmt.Sprintf(`node = "node-%s"
role = "node"
class = "sidecar"
serves = ["sidecar"]
ip = %q
zone = %q
region = "region"
internal_ports = [%d,%d]
bootstrap = true
heartbeat = "500ms"
app_addr = %q
service = %q
[listen]
inbound = %q
outbound = %q
ready = %q
control = %q
[limits]
cpu_share = 0.32
cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
[bounds]
reuse_delay = "2s"
contact = "3000ms"
ack = "4000ms"
drain = "2000ms"
grace = "6s"
converge = "2000ms"
retry_ratio = 0.2
retry_window = "10s"
retry_slack = 62
warmup_factor = 1.5
warmup_slack = 5
[platform]
address = %q
form = "log"
`, ma.ip, ma.ip, ma.zone, ma.de.basePort+portInternal, ma.de.basePort+portCount-1,
		ma.address(portEndpoint), ma.service, ma.address(portInbound), ma.address(portOutbound),
		ma.address(portReady), ma.address(portControl), ma.address(portStore))
	return os.WriteFile(ma.settings, []byte(text), 0o600)
}

// startNode starts the node process with the command of the deploy file.
func (ma *machine) startNode() error {
	log, err := os.OpenFile(filepath.Join(ma.de.dir, ma.ip+".log"),
		os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	ma.process = exec.Command(ma.de.program, "sidecar")
	ma.process.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"),
		"GUAVASTALL_SETTINGS=" + ma.settings,
	}
	ma.process.Stdout, ma.process.Stderr = log, log
	ma.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := ma.process.Start(); err != nil {
		return err
	}
	process, exited := ma.process, make(chan struct{})
	ma.exited = exited
	go func() {
		_ = process.Wait()
		close(exited)
	}()
	return nil
}

// killNode ends the node process with SIGKILL.
func (ma *machine) killNode() {
	if ma.process == nil {
		return
	}
	_ = ma.process.Process.Signal(syscall.SIGKILL)
	<-ma.exited
	ma.process = nil
}

// ready reports whether the node answers the platform's readiness call with 200.
func (ma *machine) ready() bool {
	client := http.Client{Timeout: time.Second}
	rs, err := client.Get("http://" + ma.address(portReady) + "/api/ready")
	if err != nil {
		return false
	}
	_ = rs.Body.Close()
	return rs.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready.
func (de *deployment) awaitReady(limit time.Duration) bool {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		all := true
		for _, ma := range de.machines {
			all = all && ma.ready()
		}
		if all {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// stop ends all node processes and removes the temporary files. The logs are kept beside
// the record if the environment variable KEEP_LOGS is set.
func (de *deployment) stop() {
	for _, ma := range de.machines {
		ma.killNode()
	}
	if os.Getenv("KEEP_LOGS") != "" {
		fmt.Println("logs:", de.dir)
		return
	}
	_ = os.RemoveAll(de.dir)
}

// route is a route of the configuration.
type route struct {
	name, host, prefix, kind, service string
	timeout, slo                      time.Duration
	priority, attempts                int
}

// configure writes a configuration as the operator does.
func (de *deployment) configure(version int, services []string, routes []route) {
	var text []string
	for _, ro := range routes {
		text = append(text, fmt.Sprintf(`{"name":%q,"host":%q,"prefix":%q,"kind":%q,
			"timeout":"%dms","slo":"%dms","priority":%d,"attempts":%d,"service":%q}`,
			ro.name, ro.host, ro.prefix, ro.kind, ro.timeout.Milliseconds(),
			ro.slo.Milliseconds(), ro.priority, ro.attempts, ro.service))
	}
	var all []string
	for _, name := range services {
		all = append(all, fmt.Sprintf(`{"name":%q,"health_path":"/health","max_conns":130,
			"warmup":"3s","warmup_per_s":12}`, name))
	}
	de.store.Put("keyed.op", "config", fmt.Sprintf(`{"version":"r%d","routes":[%s],
		"services":[%s],"limits":{"header_bytes":16384,"max_body_bytes":1000000,
		"header_timeout":"3s","idle_timeout":"15s"}}`,
		version, strings.Join(text, ","), strings.Join(all, ",")))
	de.record.printf("operator: configuration r%d acknowledged", version)
}
