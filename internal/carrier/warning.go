package carrier

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/guavastall/guavastall/internal/admitter"
	"github.com/guavastall/guavastall/internal/placer"
)

// This file holds what nodes of a data centre report to each other about targets in the
// warning header: the loads of degraded targets ("target age load") and the paces of
// targets ("target pLatest average age queueAge running wait..."), separated by
// semicolons. Nodes that know no paces skip these entries as malformed and remove the
// header as a whole.

const (
	// paceMark begins the second field of a pace. No age begins so.
	paceMark = "p"
	// respondingTarget stands for the target whose node sends the response. Its entry
	// has the pace during the request, or zero, in place of the state of the queue,
	// which is in the load header.
	respondingTarget = "="
	// hopTime is added to the age of updates that another node passes on, for the time
	// between the nodes. Without it, updates that are passed around would age too slowly.
	hopTime = 3 * time.Millisecond
	// maxPaceField bounds the numbers of a pace, and maxUpdateAge the ages of updates in ms.
	maxPaceField = 100_000
	maxUpdateAge = 60_000
	// responsePaceFields and paceFields are the numbers of fields of a pace in a
	// response of its target and of one that is passed on.
	responsePaceFields = 4
	paceFields         = 5 + int(admitter.Ranks)
	// typicalUpdateBytes is enough for most warning headers.
	typicalUpdateBytes = 400
)

// requestWarnings returns what the node of the target should know of other targets.
func (ca *Carrier) requestWarnings(to string) string {
	now := ca.config.Now()
	own := ca.gate.targetPace()
	var buf [placer.MaxPaces]placer.TargetPace
	paces := buf[:0]
	if own.Pace.Known(now) {
		paces = append(paces, own)
	}
	return ca.encodeUpdates(nil, paces, to, to, now)
}

// responseWarnings returns what the first node of the request should know: the pace of
// the local target, and, in the same data centre, the loads and paces of others. A
// large response arrives late, so that its updates would seem newer than they are.
func (ca *Carrier) responseWarnings(rq *request, rs *result, large bool) string {
	now := ca.config.Now()
	var text []byte
	if rs.report != nil && rs.report.Pace.Known(now) {
		delay := time.Duration(0)
		if large && rs.response != nil {
			delay = ca.egress.report().TransferTime(len(rs.response.body))
		}
		text = make([]byte, 0, typicalUpdateBytes)
		text = appendPace(text, respondingTarget, &rs.report.Pace, now.Add(delay))
		text = appendField(text, hundredths(rs.report.RunPace))
	}
	if !rq.sameDataCentre {
		return string(text)
	}
	var buf [placer.MaxPaces]placer.TargetPace
	paces := buf[:0]
	if large {
		paces = nil
	}
	return ca.encodeUpdates(text, paces, rq.target, ca.gate.pace().Target, now)
}

// encodeUpdates appends the loads of degraded targets and the newest paces to the text.
// The local target's load is sent along with requests for other targets too, because a
// slow target's own responses arrive late. The load of the target exceptLoad and the
// pace of the target exceptPace are known at the other node. No other paces are added
// if paces is nil.
func (ca *Carrier) encodeUpdates(
	text []byte, paces []placer.TargetPace, exceptLoad, exceptPace string, now time.Time,
) string {
	target, own := ca.gate.degradedLoad()
	ca.mu.Lock()
	defer ca.mu.Unlock()
	if own != nil {
		ca.placer.Warn(placer.Warning{Target: target, Report: *own}, now)
	}
	text = appendWarnings(text, ca.placer.Warnings(now), exceptLoad)
	if paces != nil {
		paces = ca.placer.Paces(paces, exceptPace, now)
	}
	if len(paces) > 0 && cap(text) == 0 {
		text = make([]byte, 0, typicalUpdateBytes)
	}
	for nn := range paces {
		if len(text) > 0 {
			text = append(text, ';')
		}
		text = appendPace(text, paces[nn].Target, &paces[nn].Pace, now)
		text = appendQueue(text, &paces[nn].Queue, now)
	}
	return string(text)
}

// appendWarnings appends the warnings, without the one about the target except.
func appendWarnings(text []byte, all []placer.Warning, except string) []byte {
	for nn := range all {
		if all[nn].Target == except {
			continue
		}
		if len(text) > 0 {
			text = append(text, ';')
		}
		text = append(text, all[nn].Target...)
		text = append(text, ' ')
		text = strconv.AppendInt(text, all[nn].Age.Milliseconds(), 10)
		text = append(text, ' ')
		text = append(text, encodeLoad(&all[nn].Report)...)
	}
	return text
}

// appendPace appends the pace of the target, with its age at the given time.
func appendPace(text []byte, target string, pa *admitter.Pace, now time.Time) []byte {
	text = append(text, target...)
	text = append(text, ' ')
	text = append(text, paceMark...)
	text = strconv.AppendInt(text, hundredths(pa.Latest), 10)
	text = appendField(text, hundredths(pa.Average))
	return appendField(text, max(now.Sub(pa.At), 0).Milliseconds())
}

// appendQueue appends the state of a queue, with its age at the given time.
func appendQueue(text []byte, qs *placer.QueueState, now time.Time) []byte {
	age := min(max(now.Sub(qs.At).Milliseconds(), 0), maxUpdateAge)
	text = appendField(appendField(text, age), int64(qs.Running))
	for _, wait := range qs.Waits {
		text = appendField(text, min(wait.Milliseconds(), maxPaceField))
	}
	return text
}

func appendField(text []byte, value int64) []byte {
	return strconv.AppendInt(append(text, ' '), value, 10)
}

func hundredths(value float64) int64 { return int64(100*value + 0.5) }

// applyWarnings applies what another node reported about targets and removes the
// header. It returns the pace of the target that responds and its pace during the
// request; zero if they are unknown.
func (ca *Carrier) applyWarnings(
	header http.Header, now time.Time,
) (own admitter.Pace, runPace float64) {
	text := header.Get(headerWarning)
	if text == "" {
		return own, 0
	}
	delete(header, headerWarning)
	ca.mu.Lock()
	defer ca.mu.Unlock()
	for part := range strings.SplitSeq(text, ";") {
		target, rest, _ := strings.Cut(part, " ")
		if fields, ok := strings.CutPrefix(rest, paceMark); ok {
			tp, run, ok := decodePace(target, fields, now)
			switch {
			case !ok:
			case target == respondingTarget:
				own, runPace = tp.Pace, run
			default:
				ca.placer.SetPace(tp)
			}
			continue
		}
		if wa, ok := decodeWarning(target, rest); ok {
			wa.Age += hopTime
			ca.placer.Warn(wa, now)
		}
	}
	return own, runPace
}

// decodePace parses the fields of a pace after the mark. It returns the pace and the
// state of the queue, or the pace during the request for the responding target.
func decodePace(
	target, text string, now time.Time,
) (tp placer.TargetPace, run float64, ok bool) {
	var values [paceFields]int
	count := 0
	for field := range strings.SplitSeq(text, " ") {
		if count == len(values) {
			return tp, 0, false
		}
		value, err := strconv.Atoi(field)
		if err != nil || value < 0 || value > maxPaceField {
			return tp, 0, false
		}
		values[count] = value
		count++
	}
	want := paceFields
	if target == respondingTarget {
		want = responsePaceFields
	}
	if count != want || target == "" || values[0] == 0 || values[1] == 0 ||
		values[2] > maxUpdateAge {
		return tp, 0, false
	}
	at := func(age int) time.Time {
		return now.Add(-hopTime - time.Duration(age)*time.Millisecond)
	}
	tp.Target = target
	tp.Pace = admitter.Pace{
		Latest: float64(values[0]) / 100, Average: float64(values[1]) / 100, At: at(values[2]),
	}
	if target == respondingTarget {
		return tp, float64(values[3]) / 100, true
	}
	tp.Queue.At, tp.Queue.Running = at(values[3]), values[4]
	for ra := range tp.Queue.Waits {
		tp.Queue.Waits[ra] = time.Duration(values[5+ra]) * time.Millisecond
	}
	return tp, 0, true
}

// decodeWarning parses a warning about the target.
func decodeWarning(target, text string) (placer.Warning, bool) {
	ageText, load, _ := strings.Cut(text, " ")
	age, err := strconv.Atoi(ageText)
	re := decodeLoad(load)
	if err != nil || age < 0 || age > maxUpdateAge || re == nil || target == "" {
		return placer.Warning{}, false
	}
	return placer.Warning{
		Target: target, Report: *re, Age: time.Duration(age) * time.Millisecond,
	}, true
}
