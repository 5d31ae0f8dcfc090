package streamorigins

// Batch has the certain origins of streams in the form in which the store keeps them. An origin never changes, so that a batch
// says nothing wrong however late it is written or read, as long as no request ID is used for two streams.
type Batch struct {
	// WrittenAt is the time of day at the writer, in Unix milliseconds.
	WrittenAt int64         `json:"written_at"`
	Origins   []OriginBatch `json:"origins"`
}

// OriginBatch has the streams of one origin.
type OriginBatch struct {
	Service string `json:"service"`
	Version string `json:"version"`
	// Keys are the streams' keys, one after the other.
	Keys []byte `json:"keys"`
}

// BatchOf returns the batch of the records. It leaves out those that are uncertain.
func BatchOf(writtenAt int64, records []Record) Batch {
	batch, indexes := Batch{WrittenAt: writtenAt}, map[Origin]int{}
	for _, record := range records {
		if record.Origin.Version == "" {
			continue
		}
		index, found := indexes[record.Origin]
		if !found {
			index = len(batch.Origins)
			indexes[record.Origin] = index
			batch.Origins = append(batch.Origins, OriginBatch{Service: record.Origin.Service, Version: record.Origin.Version})
		}
		batch.Origins[index].Keys = append(batch.Origins[index].Keys, record.Key[:]...)
	}
	return batch
}

// Records returns the records of the batch. Entries that no node can have written are left out.
func (b *Batch) Records() []Record {
	var records []Record
	for _, origin := range b.Origins {
		if origin.Service == "" || origin.Version == "" || len(origin.Keys)%len(Key{}) != 0 {
			continue
		}
		for keys := origin.Keys; len(keys) > 0; keys = keys[len(Key{}):] {
			records = append(records, Record{Key: Key(keys[:len(Key{})]), Origin: Origin{Service: origin.Service, Version: origin.Version}})
		}
	}
	return records
}
