package wire

// KindUsageDigest is the kind of UsageDigest. The exchange of usage counts has
// kinds 50 to 59.
const KindUsageDigest Kind = 50

// UsageItem is the state of one counted key between two entries.
type UsageItem struct {
	// Key is the hash of what is counted.
	Key uint32
	// Flow is the amount that the sender has passed to the receiver.
	Flow float32
	// Mean is the sender's estimate of the mean over all entries.
	Mean float32
}

// UsageDigest carries the items of the keys whose counts changed most.
type UsageDigest struct{ Items []UsageItem }

// Kind implements Message.
func (*UsageDigest) Kind() Kind { return KindUsageDigest }

// usageFactories holds the factories of the messages about usage, kinds 50 to 59.
var usageFactories = map[Kind]factory{
	KindUsageDigest: func() Message { return new(UsageDigest) },
}
