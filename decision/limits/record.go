package limits

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
)

// Share is one holder's fraction of a subject's limit.
type Share struct {
	VM         string `json:"vm"`
	Millionths int64  `json:"millionths"`
	// Epoch is new each time a VM becomes a holder, which then begins with an
	// empty bucket.
	Epoch uint64 `json:"epoch"`
}

// ShareRecord is the durable assignment of all parts, one value in the store.
type ShareRecord struct {
	// Epoch is the highest epoch of any part so far.
	Epoch uint64 `json:"epoch"`
	// Subjects are sorted by name. A subject that the configuration no longer
	// names stays, because its holders may not know that yet.
	Subjects []SubjectParts `json:"subjects"`
}

// SubjectParts are the parts of one subject, sorted by VM. They sum to at most
// Whole.
type SubjectParts struct {
	Name   string  `json:"name"`
	Shares []Share `json:"parts"`
}

// DecodeShareRecord reads a record and checks it. No data is the empty record.
func DecodeShareRecord(data []byte) (ShareRecord, error) {
	var r ShareRecord
	if len(data) == 0 {
		return r, nil
	}
	if err := json.Unmarshal(data, &r); err != nil {
		return ShareRecord{}, fmt.Errorf("decode share record: %w", err)
	}
	if err := r.check(); err != nil {
		return ShareRecord{}, err
	}
	return r, nil
}

// Encode returns the record as JSON.
func (r ShareRecord) Encode() ([]byte, error) {
	if err := r.check(); err != nil {
		return nil, err
	}
	return json.Marshal(r)
}

// Share returns the part of a VM; the zero Part if it holds none.
func (r ShareRecord) Share(subject, vm string) Share {
	for _, p := range r.Shares(subject) {
		if p.VM == vm {
			return p
		}
	}
	return Share{}
}

// Shares returns the parts of a subject.
func (r ShareRecord) Shares(subject string) []Share {
	at, found := r.find(subject)
	if !found {
		return nil
	}
	return r.Subjects[at].Shares
}

// check refuses a record that would break the strict bound.
func (r ShareRecord) check() error {
	for i, s := range r.Subjects {
		if i > 0 && r.Subjects[i-1].Name >= s.Name {
			return fmt.Errorf("share record: subject %q is out of order", s.Name)
		}
		sum := int64(0)
		for j, p := range s.Shares {
			if p.Millionths <= 0 || p.Millionths > TotalMillionths || p.Epoch > r.Epoch {
				return fmt.Errorf("share record: subject %q has an invalid part of %q", s.Name, p.VM)
			}
			if j > 0 && s.Shares[j-1].VM >= p.VM {
				return fmt.Errorf("share record: subject %q has part of %q out of order", s.Name, p.VM)
			}
			sum += p.Millionths
		}
		if sum > TotalMillionths {
			return fmt.Errorf("share record: parts of subject %q sum to %d millionths", s.Name, sum)
		}
	}
	return nil
}

func (r ShareRecord) clone() ShareRecord {
	c := ShareRecord{Epoch: r.Epoch}
	for _, s := range r.Subjects {
		c.Subjects = append(c.Subjects, SubjectParts{
			Name:   s.Name,
			Shares: slices.Clone(s.Shares),
		})
	}
	return c
}

func (r ShareRecord) find(subject string) (int, bool) {
	return slices.BinarySearchFunc(r.Subjects, subject, func(s SubjectParts, name string) int {
		return cmp.Compare(s.Name, name)
	})
}

// set changes the part of a VM. A VM that becomes a holder gets a new epoch.
func (r *ShareRecord) set(subject, vm string, millionths int64) {
	at, found := r.find(subject)
	if !found {
		r.Subjects = slices.Insert(r.Subjects, at, SubjectParts{Name: subject})
	}
	parts := &r.Subjects[at].Shares
	i, held := slices.BinarySearchFunc(*parts, vm, func(p Share, name string) int {
		return cmp.Compare(p.VM, name)
	})
	switch {
	case held && millionths == 0:
		*parts = slices.Delete(*parts, i, i+1)
	case held:
		(*parts)[i].Millionths = millionths
	case millionths > 0:
		r.Epoch++
		*parts = slices.Insert(*parts, i, Share{
			VM:         vm,
			Millionths: millionths,
			Epoch:      r.Epoch,
		})
	}
}
