package carrier

import (
	"strconv"
	"strings"
	"time"

	"github.com/guavastall/guavastall/internal/admitter"
	"github.com/guavastall/guavastall/internal/placer"
)

// maxLoadField bounds the numbers in a load header, which are times in ms, counts and
// hundredths. Greater ones, of a faulty node, would overflow in sums of expected times, so
// that the target would look best.
const maxLoadField = 1_000_000

// loadFields is the number of values in a load header.
const loadFields = 7 + int(admitter.Ranks)

func encodeLoad(re *placer.Report) string {
	values := [loadFields]int64{
		int64(re.Running), int64(re.Slots), re.Work.Milliseconds(),
		int64(100 * re.FailureShare), re.Took.Milliseconds(), int64(100 * re.Calls),
		int64(100 * re.Slowness),
	}
	for ra, wait := range re.Waits {
		values[7+ra] = wait.Milliseconds()
	}
	text := make([]byte, 0, 48)
	for nn, value := range values {
		if nn > 0 {
			text = append(text, ' ')
		}
		text = strconv.AppendInt(text, value, 10)
	}
	return string(text)
}

// decodeLoad parses a load header. It returns nil if the header is missing or
// malformed.
func decodeLoad(text string) *placer.Report {
	parts := strings.Split(text, " ")
	if len(parts) != loadFields {
		return nil
	}
	var values [loadFields]int
	for nn, part := range parts {
		value, err := strconv.Atoi(part)
		if err != nil || value < 0 {
			return nil
		}
		values[nn] = min(value, maxLoadField)
	}
	re := &placer.Report{
		Running: values[0], Slots: values[1],
		Work:         time.Duration(values[2]) * time.Millisecond,
		FailureShare: min(float64(values[3])/100, 1),
		Took:         time.Duration(values[4]) * time.Millisecond,
		Calls:        float64(values[5]) / 100, Slowness: float64(values[6]) / 100,
	}
	for ra := range re.Waits {
		re.Waits[ra] = time.Duration(values[7+ra]) * time.Millisecond
	}
	return re
}
