package evaluator

import (
	"math/bits"
	"time"
)

// Latency buckets are log-linear: eight for each power of two microseconds,
// so a bucket is at most 12.5% wide.
const (
	subBits     = 3
	subBuckets  = 1 << subBits
	bucketCount = 224 // covers 37 minutes; longer latencies share the last bucket
)

// BucketOf returns the latency bucket of a duration.
func BucketOf(latency time.Duration) uint8 {
	us := uint64(max(latency, 0) / time.Microsecond)
	if us < subBuckets {
		return uint8(us)
	}
	shift := bits.Len64(us) - 1 - subBits
	index := (shift+1)*subBuckets + int(us>>shift)&(subBuckets-1)
	return uint8(min(index, bucketCount-1))
}
