package relayer

import (
	"container/heap"
	"encoding/gob"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/guavastall/guavastall/internal/elector"
	"github.com/guavastall/guavastall/internal/reducer"
	"github.com/guavastall/guavastall/pkg/checker"
)

// init fixes the seed of the randomised tests; -rapid.seed on the command line
// still wins.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// event is a function to run at a virtual time.
type event struct {
	at  time.Time
	seq int
	run func()
}

type events []event

func (ev events) Len() int { return len(ev) }
func (ev events) Less(ii, jj int) bool {
	if ev[ii].at.Equal(ev[jj].at) {
		return ev[ii].seq < ev[jj].seq
	}
	return ev[ii].at.Before(ev[jj].at)
}
func (ev events) Swap(ii, jj int) { ev[ii], ev[jj] = ev[jj], ev[ii] }
func (ev *events) Push(xx any)    { *ev = append(*ev, xx.(event)) }
func (ev *events) Pop() any {
	last := (*ev)[len(*ev)-1]
	*ev = (*ev)[:len(*ev)-1]
	return last
}

// virtualNode is a simulated node.
type virtualNode struct {
	id     checker.NodeID
	index  int
	dc     int
	reader bool
	// readsFormat2 is set if the node's build reads format 2.
	readsFormat2 bool
	rl           *Relayer
	incarnation  int
	wake         time.Time
	neighbours   []checker.NodeID
	bytes        int
	// hops is the number of hops from the log or the origin that the last new
	// record or fact took.
	hops int
}

// simulation runs many relayers, a log and a network in virtual time.
type simulation struct {
	now    time.Time
	queue  events
	seq    int
	rnd    *rand.Rand
	nodes  []*virtualNode
	byID   map[checker.NodeID]*virtualNode
	config Config

	loss   float64
	jitter time.Duration
	// partitioned reports whether two nodes cannot reach each other. The index -1
	// stands for the log.
	partitioned func(aa, bb int) bool

	log         [][]byte
	first       uint64
	checkpoints [][]byte
	// encoder writes all messages to encoded as one gob stream, as on a persistent
	// connection.
	encoder *gob.Encoder
	encoded *counter
	msgs    int
	// delivered counts the records and facts sent, including duplicates.
	delivered int
}

// counter is a writer that counts bytes.
type counter int

func (co *counter) Write(data []byte) (int, error) {
	*co += counter(len(data))
	return len(data), nil
}

func nodeID(nn int) checker.NodeID {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(nn >> 8), byte(nn)}), 7000)
}

// newSimulation returns a simulation with nodes in turn assigned to the data
// centres. Each node has 3 neighbours in its own data centre and 1 in another,
// and each data centre has 2 readers.
func newSimulation(count, dataCentres int, seed uint64, cf Config) *simulation {
	sm := &simulation{
		now: time.Unix(1_000_000, 0), rnd: rand.New(rand.NewPCG(seed, 1)), config: cf,
		byID: map[checker.NodeID]*virtualNode{}, jitter: time.Millisecond, encoded: new(counter),
		partitioned: func(int, int) bool { return false },
	}
	sm.encoder = gob.NewEncoder(sm.encoded)
	locals := make([][]checker.NodeID, dataCentres)
	for ii := range count {
		vn := &virtualNode{id: nodeID(ii), index: ii, dc: ii % dataCentres, readsFormat2: true}
		sm.nodes = append(sm.nodes, vn)
		sm.byID[vn.id] = vn
		locals[vn.dc] = append(locals[vn.dc], vn.id)
	}
	for _, vn := range sm.nodes {
		var others []checker.NodeID
		for dc, list := range locals {
			if dc != vn.dc {
				others = append(others, list...)
			}
		}
		own := slices.DeleteFunc(slices.Clone(locals[vn.dc]), func(no checker.NodeID) bool { return no == vn.id })
		vn.neighbours = append(elector.Owners("n"+vn.id.String(), own, 3),
			elector.Owners("o"+vn.id.String(), others, 1)...)
		vn.reader = slices.Contains(elector.Owners(fmt.Sprint("log/", vn.dc), locals[vn.dc], 2), vn.id)
		sm.start(vn)
	}
	return sm
}

// start starts the node with an empty state.
func (sm *simulation) start(vn *virtualNode) {
	cf := sm.config
	cf.Self = vn.id
	cf.Apply = applyOf(vn.readsFormat2)
	vn.rl = New(cf, &reducer.State{})
	vn.incarnation++
	vn.hops = 0
	vn.wake = time.Time{}
	vn.rl.SetNeighbours(vn.neighbours, sm.now)
	incarnation := vn.incarnation
	// Real nodes start at different times.
	sm.after(sm.randomDelay(time.Second), func() { sm.tick(vn, incarnation) })
	if vn.reader {
		sm.after(sm.randomDelay(time.Second), func() { sm.poll(vn, incarnation) })
	}
}

// applyOf returns the Apply function of a build. In the simulation, format 2
// differs from format 1 only in the header.
func applyOf(readsFormat2 bool) func(*reducer.State, uint64, []byte) (*reducer.State, error) {
	return func(st *reducer.State, offset uint64, data []byte) (*reducer.State, error) {
		if readsFormat2 && len(data) > 1 && data[1] == 2 {
			data = slices.Clone(data)
			data[1] = 1
		}
		next, _, err := st.Apply(offset, data)
		return next, err
	}
}

func (sm *simulation) randomDelay(below time.Duration) time.Duration {
	return time.Duration(sm.rnd.Int64N(int64(below)))
}

func (sm *simulation) after(du time.Duration, run func()) {
	sm.seq++
	heap.Push(&sm.queue, event{at: sm.now.Add(du), seq: sm.seq, run: run})
}

// run advances the virtual time.
func (sm *simulation) run(du time.Duration) {
	until := sm.now.Add(du)
	for len(sm.queue) > 0 && !sm.queue[0].at.After(until) {
		ev := heap.Pop(&sm.queue).(event)
		sm.now = ev.at
		ev.run()
	}
	sm.now = until
}

func (sm *simulation) tick(vn *virtualNode, incarnation int) {
	if vn.incarnation != incarnation {
		return
	}
	vn.rl.SetNeighbours(vn.neighbours, sm.now)
	sm.sendPlanned(vn)
	sm.after(time.Second, func() { sm.tick(vn, incarnation) })
}

// poll reads the log every 2 s. An append causes an earlier read.
func (sm *simulation) poll(vn *virtualNode, incarnation int) {
	if vn.incarnation != incarnation {
		return
	}
	sm.readLog(vn)
	sm.after(2*time.Second, func() { sm.poll(vn, incarnation) })
}

func (sm *simulation) readLog(vn *virtualNode) {
	if sm.partitioned(vn.index, -1) {
		return
	}
	before := vn.rl.Next()
	if before < sm.first {
		for _, data := range sm.checkpoints {
			if st, err := reducer.LoadCheckpoint(data); err == nil {
				vn.rl.Adopt(st)
			}
		}
	}
	var list []Record
	if from := vn.rl.Next(); from >= sm.first {
		for offset := from; offset < uint64(len(sm.log)); offset++ {
			list = append(list, NewRecord(offset, sm.log[offset]))
		}
	}
	vn.rl.AddLogged(list, sm.now)
	if vn.rl.Next() != before {
		vn.hops = 0
	}
	sm.sendPlanned(vn)
}

// append adds a record to the log and completes the readers' long polls.
func (sm *simulation) append(data []byte) {
	sm.log = append(sm.log, data)
	for _, vn := range sm.nodes {
		if vn.reader {
			incarnation := vn.incarnation
			sm.after(2*time.Millisecond, func() {
				if vn.incarnation == incarnation {
					sm.readLog(vn)
				}
			})
		}
	}
}

// sendPlanned sends the messages that the node plans.
func (sm *simulation) sendPlanned(vn *virtualNode) {
	actions, wake := vn.rl.Plan(sm.now)
	for _, ac := range actions {
		sm.send(vn, ac)
	}
	if vn.wake.After(sm.now) && !wake.Before(vn.wake) {
		return
	}
	vn.wake = wake
	incarnation := vn.incarnation
	sm.after(wake.Sub(sm.now), func() {
		if vn.incarnation == incarnation && vn.wake.Equal(wake) {
			sm.sendPlanned(vn)
		}
	})
}

// latency returns the one-way latency with jitter: 0.1 ms within a data centre
// and 0.75 ms between two.
func (sm *simulation) latency(aa, bb *virtualNode) time.Duration {
	base := 750 * time.Microsecond
	if aa.dc == bb.dc {
		base = 100 * time.Microsecond
	}
	return base + sm.randomDelay(sm.jitter)
}

// size returns the size of a message in bytes, including the net/rpc header.
func (sm *simulation) size(msg any) int {
	const header = 40
	before := *sm.encoded
	if err := sm.encoder.Encode(msg); err != nil {
		panic(err)
	}
	return int(*sm.encoded-before) + header
}

func (sm *simulation) countBytes(from, to *virtualNode, msg any) {
	size := sm.size(msg)
	from.bytes += size
	to.bytes += size
	sm.msgs++
}

// send delivers an action and its reply, or loses either.
func (sm *simulation) send(vn *virtualNode, ac Action) {
	incarnation := vn.incarnation
	to := sm.byID[ac.To]
	fail := func() {
		sm.after(time.Second, func() {
			if vn.incarnation == incarnation {
				vn.rl.HandleFailure(ac, sm.now)
				sm.sendPlanned(vn)
			}
		})
	}
	lost := func() bool { return sm.partitioned(vn.index, to.index) || sm.rnd.Float64() < sm.loss }
	if ac.Push != nil {
		sm.countBytes(vn, to, *ac.Push)
		sm.delivered += len(ac.Push.Records) + len(ac.Push.Facts)
	} else {
		sm.countBytes(vn, to, *ac.Pull)
	}
	hops := vn.hops
	if lost() {
		fail()
		return
	}
	sm.after(sm.latency(vn, to), func() {
		before, digest := to.rl.Next(), to.rl.Digest(sm.now).Facts
		var re Reply
		if ac.Push != nil {
			re.Digest = to.rl.HandlePush(*ac.Push, sm.now)
			sm.countBytes(to, vn, re.Digest)
		} else {
			re = to.rl.HandlePull(*ac.Pull, sm.now)
			sm.countBytes(to, vn, re)
			sm.delivered += len(re.Records) + len(re.Facts)
		}
		if to.rl.Next() != before || to.rl.Digest(sm.now).Facts != digest {
			to.hops = hops + 1
		}
		sm.sendPlanned(to)
		servedHops := to.hops
		if lost() {
			fail()
			return
		}
		sm.after(sm.latency(to, vn), func() {
			if vn.incarnation != incarnation {
				return
			}
			before := vn.rl.Next()
			vn.rl.HandleReply(ac, re, sm.now)
			if vn.rl.Next() != before {
				vn.hops = servedHops + 1
			}
			sm.sendPlanned(vn)
		})
	})
}
