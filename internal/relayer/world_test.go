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

// event is something that happens at a virtual time.
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

// vnode is a node in virtual time.
type vnode struct {
	id     checker.NodeID
	index  int
	dc     int
	reader bool
	// newer says that the build reads format 2.
	newer bool
	rl    *Relayer
	life  int
	wake  time.Time
	links []checker.NodeID
	bytes int
	// hops is the distance from the log or the origin at which the last news arrived.
	hops int
}

// world runs many relayers, a log and a network in virtual time.
type world struct {
	now    time.Time
	queue  events
	seq    int
	rnd    *rand.Rand
	nodes  []*vnode
	byID   map[checker.NodeID]*vnode
	config Config

	loss   float64
	jitter time.Duration
	// cut reports whether two nodes cannot reach each other; -1 is the log.
	cut func(aa, bb int) bool

	log         [][]byte
	first       uint64
	checkpoints [][]byte
	// measure counts bytes of gob on one stream, as a persistent link does.
	measure *gob.Encoder
	counted *counter
	msgs    int
	// carried counts record and fact deliveries, useful or not.
	carried int
}

type counter int

func (co *counter) Write(data []byte) (int, error) {
	*co += counter(len(data))
	return len(data), nil
}

func nodeID(nn int) checker.NodeID {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(nn >> 8), byte(nn)}), 7000)
}

// newWorld returns nodes spread over the data centres, each with 3 neighbours
// in its own and 1 in another, and 2 readers per data centre.
func newWorld(count, dataCentres int, seed uint64, cf Config) *world {
	wd := &world{
		now: time.Unix(1_000_000, 0), rnd: rand.New(rand.NewPCG(seed, 1)), config: cf,
		byID: map[checker.NodeID]*vnode{}, jitter: time.Millisecond, counted: new(counter),
		cut: func(int, int) bool { return false },
	}
	wd.measure = gob.NewEncoder(wd.counted)
	locals := make([][]checker.NodeID, dataCentres)
	for ii := range count {
		vn := &vnode{id: nodeID(ii), index: ii, dc: ii % dataCentres, newer: true}
		wd.nodes = append(wd.nodes, vn)
		wd.byID[vn.id] = vn
		locals[vn.dc] = append(locals[vn.dc], vn.id)
	}
	for _, vn := range wd.nodes {
		var others []checker.NodeID
		for dc, list := range locals {
			if dc != vn.dc {
				others = append(others, list...)
			}
		}
		own := slices.DeleteFunc(slices.Clone(locals[vn.dc]), func(no checker.NodeID) bool { return no == vn.id })
		vn.links = append(elector.Owners("n"+vn.id.String(), own, 3),
			elector.Owners("o"+vn.id.String(), others, 1)...)
		vn.reader = slices.Contains(elector.Owners(fmt.Sprint("log/", vn.dc), locals[vn.dc], 2), vn.id)
		wd.start(vn)
	}
	return wd
}

// start gives the node an empty memory.
func (wd *world) start(vn *vnode) {
	cf := wd.config
	cf.Self = vn.id
	cf.Apply = applyOf(vn.newer)
	vn.rl = New(cf, &reducer.State{})
	vn.life++
	vn.hops = 0
	vn.wake = time.Time{}
	vn.rl.SetNeighbours(vn.links, wd.now)
	life := vn.life
	// The shells of real nodes start at different times.
	wd.after(wd.random(time.Second), func() { wd.upkeep(vn, life) })
	if vn.reader {
		wd.after(wd.random(time.Second), func() { wd.poll(vn, life) })
	}
}

// applyOf returns the fold of a build. A newer build reads format 2, which
// here differs from format 1 in the header alone.
func applyOf(newer bool) func(*reducer.State, uint64, []byte) (*reducer.State, error) {
	return func(st *reducer.State, offset uint64, data []byte) (*reducer.State, error) {
		if newer && len(data) > 1 && data[1] == 2 {
			data = slices.Clone(data)
			data[1] = 1
		}
		next, _, err := st.Apply(offset, data)
		return next, err
	}
}

func (wd *world) random(below time.Duration) time.Duration {
	return time.Duration(wd.rnd.Int64N(int64(below)))
}

func (wd *world) after(du time.Duration, run func()) {
	wd.seq++
	heap.Push(&wd.queue, event{at: wd.now.Add(du), seq: wd.seq, run: run})
}

// run advances the virtual time.
func (wd *world) run(du time.Duration) {
	until := wd.now.Add(du)
	for len(wd.queue) > 0 && !wd.queue[0].at.After(until) {
		ev := heap.Pop(&wd.queue).(event)
		wd.now = ev.at
		ev.run()
	}
	wd.now = until
}

func (wd *world) upkeep(vn *vnode, life int) {
	if vn.life != life {
		return
	}
	vn.rl.SetNeighbours(vn.links, wd.now)
	wd.act(vn)
	wd.after(time.Second, func() { wd.upkeep(vn, life) })
}

// poll reads the log every 2 s; an append wakes it sooner.
func (wd *world) poll(vn *vnode, life int) {
	if vn.life != life {
		return
	}
	wd.readLog(vn)
	wd.after(2*time.Second, func() { wd.poll(vn, life) })
}

func (wd *world) readLog(vn *vnode) {
	if wd.cut(vn.index, -1) {
		return
	}
	before := vn.rl.Next()
	if before < wd.first {
		for _, data := range wd.checkpoints {
			if st, err := reducer.LoadCheckpoint(data); err == nil {
				vn.rl.Adopt(st)
			}
		}
	}
	var list []Record
	if from := vn.rl.Next(); from >= wd.first {
		for offset := from; offset < uint64(len(wd.log)); offset++ {
			list = append(list, NewRecord(offset, wd.log[offset]))
		}
	}
	vn.rl.Logged(list, wd.now)
	if vn.rl.Next() != before {
		vn.hops = 0
	}
	wd.act(vn)
}

// append adds a record to the log and wakes the readers' long polls.
func (wd *world) append(data []byte) {
	wd.log = append(wd.log, data)
	for _, vn := range wd.nodes {
		if vn.reader {
			life := vn.life
			wd.after(2*time.Millisecond, func() {
				if vn.life == life {
					wd.readLog(vn)
				}
			})
		}
	}
}

// act sends what the node plans.
func (wd *world) act(vn *vnode) {
	actions, wake := vn.rl.Plan(wd.now)
	for _, ac := range actions {
		wd.send(vn, ac)
	}
	if vn.wake.After(wd.now) && !wake.Before(vn.wake) {
		return
	}
	vn.wake = wake
	life := vn.life
	wd.after(wake.Sub(wd.now), func() {
		if vn.life == life && vn.wake.Equal(wake) {
			wd.act(vn)
		}
	})
}

// latency is 0.1 ms within a data centre and 0.75 ms between them, each way.
func (wd *world) latency(aa, bb *vnode) time.Duration {
	base := 750 * time.Microsecond
	if aa.dc == bb.dc {
		base = 100 * time.Microsecond
	}
	return base + wd.random(wd.jitter)
}

// size returns the bytes of a message with the headers of net/rpc.
func (wd *world) size(msg any) int {
	const header = 40
	before := *wd.counted
	if err := wd.measure.Encode(msg); err != nil {
		panic(err)
	}
	return int(*wd.counted-before) + header
}

func (wd *world) account(from, to *vnode, msg any) {
	size := wd.size(msg)
	from.bytes += size
	to.bytes += size
	wd.msgs++
}

// send delivers an action and its answer, or loses either.
func (wd *world) send(vn *vnode, ac Action) {
	life := vn.life
	to := wd.byID[ac.To]
	fail := func() {
		wd.after(time.Second, func() {
			if vn.life == life {
				vn.rl.Fail(ac, wd.now)
				wd.act(vn)
			}
		})
	}
	lost := func() bool { return wd.cut(vn.index, to.index) || wd.rnd.Float64() < wd.loss }
	if ac.Push != nil {
		wd.account(vn, to, *ac.Push)
		wd.carried += len(ac.Push.Records) + len(ac.Push.Facts)
	} else {
		wd.account(vn, to, *ac.Pull)
	}
	hops := vn.hops
	if lost() {
		fail()
		return
	}
	wd.after(wd.latency(vn, to), func() {
		before, digest := to.rl.Next(), to.rl.Digest(wd.now).Facts
		var re Reply
		if ac.Push != nil {
			re.Digest = to.rl.Receive(*ac.Push, wd.now)
			wd.account(to, vn, re.Digest)
		} else {
			re = to.rl.Serve(*ac.Pull, wd.now)
			wd.account(to, vn, re)
			wd.carried += len(re.Records) + len(re.Facts)
		}
		if to.rl.Next() != before || to.rl.Digest(wd.now).Facts != digest {
			to.hops = hops + 1
		}
		wd.act(to)
		servedHops := to.hops
		if lost() {
			fail()
			return
		}
		wd.after(wd.latency(to, vn), func() {
			if vn.life != life {
				return
			}
			before := vn.rl.Next()
			vn.rl.Succeed(ac, re, wd.now)
			if vn.rl.Next() != before {
				vn.hops = servedHops + 1
			}
			wd.act(vn)
		})
	})
}
