package wire

// KindUsageDigest is the kind of UsageDigest; usage exchange has 50 to 59.
const KindUsageDigest Kind = 50

// UsageItem is one counted key's state between two entries. Key is the hash of
// what is counted.
type UsageItem struct {
	Key  uint32
	Flow float32
	Mean float32
}

// UsageDigest carries the keys whose counts changed most.
type UsageDigest struct{ Items []UsageItem }

// Kind implements Message.
func (*UsageDigest) Kind() Kind { return KindUsageDigest }

var usageFactories = map[Kind]factory{
	KindUsageDigest: func() Message { return new(UsageDigest) },
}
