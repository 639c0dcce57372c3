package carrier

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/guavastall/guavastall/internal/admitter"
	"github.com/guavastall/guavastall/internal/placer"
)

// This file holds what nodes of a data centre tell each other about targets in the
// warning header: the loads of degraded targets ("target age load") and the paces of
// targets ("target pLatest average age"), separated by semicolons. Nodes that know no
// paces skip these entries as malformed and remove the header as a whole.

const (
	// paceMark begins the second field of a pace. No age begins so.
	paceMark = "p"
	// respondingTarget stands for the target whose node sends the response. Its entry
	// has the pace during the request as a fifth field.
	respondingTarget = "="
	// hopTime is added to the age of a pace that another node passes on, for the time
	// between the nodes. Without it, a pace that is passed around would age too slowly.
	hopTime = 3 * time.Millisecond
	// maxPaceField and maxPaceFieldAge bound the numbers of a pace.
	maxPaceField    = 100_000
	maxPaceFieldAge = 60_000
)

// requestWarnings returns what the node of the target should know of other targets.
func (ca *Carrier) requestWarnings(to string) string {
	now := ca.config.Now()
	own := ca.gate.pace()
	var buf [placer.MaxPaces]placer.TargetPace
	paces := buf[:0]
	if own.Pace.Known(now) {
		paces = append(paces, own)
	}
	return ca.encodeNews(nil, paces, to, to, now)
}

// responseWarnings returns what the first node of the request should know: the pace of
// the local target, and, in the same data centre, the loads and paces of others. A
// large response arrives late, so that its news would seem newer than they are.
func (ca *Carrier) responseWarnings(rq *request, rs *result, large bool) string {
	now := ca.config.Now()
	var text []byte
	if rs.report != nil && rs.report.Pace.Known(now) {
		delay := time.Duration(0)
		if large && rs.response != nil {
			delay = ca.egress.report().TransferTime(len(rs.response.body))
		}
		text = appendPace(make([]byte, 0, 256), respondingTarget, &rs.report.Pace, now.Add(delay))
		if rs.report.RunPace > 0 {
			text = append(text, ' ')
			text = appendHundredths(text, rs.report.RunPace)
		}
	}
	if !rq.sameDataCentre {
		return string(text)
	}
	var buf [placer.MaxPaces]placer.TargetPace
	paces := buf[:0]
	if large {
		paces = nil
	}
	return ca.encodeNews(text, paces, rq.target, ca.gate.pace().Target, now)
}

// encodeNews appends the loads of degraded targets and the newest paces to the text.
// The local target's load is sent along with requests for other targets too, because a
// slow target's own responses arrive late. The load of the target exceptLoad and the
// pace of the target exceptPace are known at the other node. No other paces are added
// if paces is nil.
func (ca *Carrier) encodeNews(
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
		text = make([]byte, 0, 256)
	}
	for nn := range paces {
		if len(text) > 0 {
			text = append(text, ';')
		}
		text = appendPace(text, paces[nn].Target, &paces[nn].Pace, now)
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
	text = appendHundredths(text, pa.Latest)
	text = append(text, ' ')
	text = appendHundredths(text, pa.Average)
	text = append(text, ' ')
	return strconv.AppendInt(text, max(now.Sub(pa.At), 0).Milliseconds(), 10)
}

func appendHundredths(text []byte, value float64) []byte {
	return strconv.AppendInt(text, int64(100*value+0.5), 10)
}

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
			pa, run, ok := decodePace(fields, now)
			switch {
			case !ok || target == "":
			case target == respondingTarget:
				own, runPace = pa, run
			default:
				ca.placer.SetPace(placer.TargetPace{Target: target, Pace: pa})
			}
			continue
		}
		if wa, ok := decodeWarning(target, rest); ok {
			ca.placer.Warn(wa, now)
		}
	}
	return own, runPace
}

// decodePace parses the fields of a pace after the mark: the latest and the average
// pace, the age, and in a response of the target the pace during the request.
func decodePace(text string, now time.Time) (pa admitter.Pace, run float64, ok bool) {
	var values [4]int
	count := 0
	for field := range strings.SplitSeq(text, " ") {
		if count == len(values) {
			return pa, 0, false
		}
		value, err := strconv.Atoi(field)
		if err != nil || value < 0 || value > maxPaceField {
			return pa, 0, false
		}
		values[count] = value
		count++
	}
	if count < 3 || values[0] == 0 || values[1] == 0 || values[2] > maxPaceFieldAge {
		return pa, 0, false
	}
	age := time.Duration(values[2])*time.Millisecond + hopTime
	return admitter.Pace{
		Latest: float64(values[0]) / 100, Average: float64(values[1]) / 100, At: now.Add(-age),
	}, float64(values[3]) / 100, true
}

// decodeWarning parses a warning about the target.
func decodeWarning(target, text string) (placer.Warning, bool) {
	ageText, load, _ := strings.Cut(text, " ")
	age, err := strconv.Atoi(ageText)
	re := decodeLoad(load)
	if err != nil || age < 0 || re == nil || target == "" {
		return placer.Warning{}, false
	}
	return placer.Warning{
		Target: target, Report: *re, Age: time.Duration(age) * time.Millisecond,
	}, true
}
