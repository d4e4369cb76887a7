package vmwire

// Results of StoreQuery.
const (
	// StoreOK means that the reply holds the requested changes.
	StoreOK uint8 = iota
	// StoreCompacted means that the changes since the revision are no longer available.
	StoreCompacted
	// StoreUnknown means that the replying VM does not know the state of the store.
	StoreUnknown
)
