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
	bucketCount = 224 // up to 17 minutes; longer latencies count in the last bucket
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

// bucketLow returns the lower bound of a bucket.
func bucketLow(bucket int) time.Duration {
	if bucket < subBuckets {
		return time.Duration(bucket) * time.Microsecond
	}
	shift := bucket/subBuckets - 1
	us := uint64(subBuckets+bucket%subBuckets) << shift
	return time.Duration(us) * time.Microsecond
}

// bucketAtLeast returns the first bucket whose lower bound is at least latency.
func bucketAtLeast(latency time.Duration) int {
	bucket := int(BucketOf(latency))
	if bucketLow(bucket) < latency {
		bucket++
	}
	return bucket
}
