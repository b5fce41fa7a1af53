package journal

import (
	"encoding/json"

	"rhubarbshore/internal/peer/rpc"
	"rhubarbshore/pkg/api"
)

// Record is a record of a stream of jobs, encoded as JSON: an accepted job or the end of
// a job.
type Record struct {
	Job *api.Job  `json:"job,omitempty"`
	ID  string    `json:"id,omitempty"`
	End api.State `json:"end,omitempty"`
}

// id returns the ID of the record's job.
func (r Record) id() string {
	if r.Job != nil {
		return r.Job.ID
	}
	return r.ID
}

// isEnd reports whether the record is the end of its job.
func (r Record) isEnd() bool { return r.Job == nil }

func encode(records []Record) ([][]byte, error) {
	var out [][]byte
	for _, r := range records {
		data, err := json.Marshal(r)
		if err != nil {
			return nil, err
		}
		out = append(out, data)
	}
	return out, nil
}

// decode decodes records and skips those that this release can't decode.
func decode(all [][]byte) []Record {
	var out []Record
	for _, data := range all {
		var r Record
		if json.Unmarshal(data, &r) == nil {
			out = append(out, r)
		}
	}
	return out
}

// newReplicaSet returns the message with the records of an origin at a version.
func newReplicaSet(origin string, version uint64, records []Record) *rpc.ReplicaSet {
	data, err := encode(records)
	if err != nil {
		return &rpc.ReplicaSet{Origin: origin}
	}
	return &rpc.ReplicaSet{Origin: origin, Version: version, Records: data}
}
