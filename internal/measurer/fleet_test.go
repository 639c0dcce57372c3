package measurer_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavastall/guavastall/internal/measurer"
	"github.com/guavastall/guavastall/pkg/checker"
)

// binaries holds the paths of the programs under test, which TestMain builds.
var binaries struct {
	node, standin string
}

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "guavastall-measures")
	if err != nil {
		panic(err)
	}
	binaries.node = filepath.Join(dir, "guavastall")
	binaries.standin = filepath.Join(dir, "guavastall-standin")
	for path, pkg := range map[string]string{
		binaries.node: "../../cmd/guavastall", binaries.standin: "../../cmd/guavastall-standin",
	} {
		if out, err := exec.Command("go", "build", "-o", path, pkg).CombinedOutput(); err != nil {
			panic(fmt.Sprintf("build %s: %v\n%s", pkg, err, out))
		}
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

const (
	// waveSize is the number of nodes started before the test waits for them.
	waveSize = 20
	// firstPort is below the range of ephemeral ports.
	firstPort = 21_000
	startTime = time.Minute
)

// fleet is a deployment of separate processes on the loopback interface.
type fleet struct {
	t       *testing.T
	number  int
	log     netip.AddrPort
	nodes   []*measurer.Node
	started map[*measurer.Node]*process
	seeds   []string
	targets int
}

// process is a program that the test started.
type process struct {
	args []string
	cmd  *exec.Cmd
}

func (pr *process) start() error {
	pr.cmd = exec.Command(pr.args[0], pr.args[1:]...)
	return pr.cmd.Start()
}

func (pr *process) kill() {
	if pr.cmd != nil && pr.cmd.Process != nil {
		_ = pr.cmd.Process.Kill()
		_ = pr.cmd.Wait()
		pr.cmd = nil
	}
}

var fleets int

// newFleet starts the log. The addresses are derived from the process ID of the
// test, so that concurrent runs on one machine do not conflict.
func newFleet(t *testing.T) *fleet {
	fleets++
	fl := &fleet{t: t, number: fleets, started: map[*measurer.Node]*process{}}
	fl.log = fl.address(0, 0, 0)
	fl.run(binaries.standin, "log", "--listen", fl.log.String())
	return fl
}

// address returns a loopback address for the fleet.
func (fl *fleet) address(group, number, port int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("127.%d.%d.%d:%d", 10+os.Getpid()%200,
		16*(fl.number%15)+group, 1+number, firstPort+port))
}

// run starts a program and kills it when the test ends.
func (fl *fleet) run(args ...string) *process {
	pr := &process{args: args}
	require.NoError(fl.t, pr.start())
	fl.t.Cleanup(pr.kill)
	return pr
}

// target starts a target.
func (fl *fleet) target(version string, slots int, workTime time.Duration) netip.AddrPort {
	fl.targets++
	at := fl.address(1, fl.targets, 0)
	fl.run(binaries.standin, "target", "--listen", at.String(), "--target-version", version,
		"--slots", fmt.Sprint(slots), "--work-time", workTime.String())
	return at
}

// add starts a node, without a target if the service is empty.
func (fl *fleet) add(
	dc checker.DataCentre, service checker.Service, version string, slots int, at netip.AddrPort,
) *measurer.Node {
	nn := len(fl.nodes)
	address := func(port int) netip.AddrPort { return fl.address(2+nn/200, nn%200, port) }
	no := &measurer.Node{
		DataCentre: dc, Service: service, Target: at, Callers: address(1), Operator: address(2),
	}
	listen := address(0).String()
	args := []string{
		binaries.node, "node", "--data-centre", string(dc), "--listen", listen,
		"--caller-listen", no.Callers.String(), "--operator-listen", no.Operator.String(),
		"--platform-log", fl.log.String(),
	}
	if service != "" {
		args = append(args, "--service", string(service), "--target-version", version,
			"--target", at.String(), "--slots", fmt.Sprint(slots))
	}
	for _, seed := range fl.seeds {
		args = append(args, "--seed", seed)
	}
	if len(fl.seeds) < 4 {
		fl.seeds = append(fl.seeds, listen)
	}
	pr := fl.run(args...)
	no.PID = pr.cmd.Process.Pid
	fl.started[no] = pr
	fl.nodes = append(fl.nodes, no)
	return no
}

// deployment describes the fleet for the measurer.
func (fl *fleet) deployment(name string) *measurer.Deployment {
	return &measurer.Deployment{
		Name: name, Nodes: fl.nodes, Log: fl.log,
		Kill: func(nodes []*measurer.Node) error {
			for _, no := range nodes {
				_ = fl.started[no].cmd.Process.Kill()
			}
			for _, no := range nodes {
				fl.started[no].kill()
			}
			return nil
		},
		Start: func(nodes []*measurer.Node) error {
			var errs []error
			for _, no := range nodes {
				pr := fl.started[no]
				if err := pr.start(); err != nil {
					errs = append(errs, err)
					continue
				}
				no.PID = pr.cmd.Process.Pid
			}
			return errors.Join(errs...)
		},
	}
}

// measure waits until the nodes have discovered each other, publishes the document
// and returns a measurer and the time until the discovery was complete.
func (fl *fleet) measure(
	name string, doc *checker.Document,
) (*measurer.Measurer, checker.Duration) {
	me := measurer.New(fl.deployment(name), doc, *seed)
	fl.t.Cleanup(me.Close)
	ctx, cancel := context.WithTimeout(fl.t.Context(), startTime)
	defer cancel()
	took, err := me.AwaitMembership(ctx)
	require.NoError(fl.t, err)
	_, _, err = me.Publish(ctx)
	require.NoError(fl.t, err)
	return me, checker.Duration(took)
}

// awaitWave waits until the nodes have discovered each other if a wave is complete.
func (fl *fleet) awaitWave() {
	if len(fl.nodes)%waveSize != 0 {
		return
	}
	ctx, cancel := context.WithTimeout(fl.t.Context(), startTime)
	defer cancel()
	me := measurer.New(fl.deployment("wave"), nil, *seed)
	defer me.Close()
	_, err := me.AwaitMembership(ctx)
	require.NoError(fl.t, err)
}

// document reads an example configuration.
func document(t *testing.T, name string) *checker.Document {
	data, err := os.ReadFile(filepath.Join("..", "..", "examples", name))
	require.NoError(t, err)
	doc, err := checker.Decode(data)
	require.NoError(t, err)
	return doc
}

// revision returns the Git revision of the tree, marked if it has changes.
func revision() string {
	out, err := exec.Command("git", "describe", "--always", "--dirty").Output()
	if err != nil {
		return "unknown"
	}
	return strings.TrimSpace(string(out))
}
