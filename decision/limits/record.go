package limits

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
)

// Part is one holder's fraction of a subject's limit.
type Part struct {
	VM         string `json:"vm"`
	Millionths int64  `json:"millionths"`
	// Epoch is new each time a VM becomes a holder, which then begins with an
	// empty bucket.
	Epoch uint64 `json:"epoch"`
}

// Record is the durable assignment of all parts, one value in the store.
type Record struct {
	// Epoch is the highest epoch of any part so far.
	Epoch uint64 `json:"epoch"`
	// Subjects are sorted by name. A subject that the configuration no longer
	// names stays, because its holders may not know that yet.
	Subjects []SubjectParts `json:"subjects"`
}

// SubjectParts are the parts of one subject, sorted by VM. They sum to at most
// Whole.
type SubjectParts struct {
	Name  string `json:"name"`
	Parts []Part `json:"parts"`
}

// DecodeRecord reads a record and checks it. No data is the empty record.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if len(data) == 0 {
		return r, nil
	}
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, fmt.Errorf("decode share record: %w", err)
	}
	if err := r.check(); err != nil {
		return Record{}, err
	}
	return r, nil
}

// Encode returns the record as JSON.
func (r Record) Encode() ([]byte, error) {
	if err := r.check(); err != nil {
		return nil, err
	}
	return json.Marshal(r)
}

// Part returns the part of a VM; the zero Part if it holds none.
func (r Record) Part(subject, vm string) Part {
	for _, p := range r.Parts(subject) {
		if p.VM == vm {
			return p
		}
	}
	return Part{}
}

// Parts returns the parts of a subject.
func (r Record) Parts(subject string) []Part {
	at, found := r.find(subject)
	if !found {
		return nil
	}
	return r.Subjects[at].Parts
}

// check refuses a record that would break the strict bound.
func (r Record) check() error {
	for i, s := range r.Subjects {
		if i > 0 && r.Subjects[i-1].Name >= s.Name {
			return fmt.Errorf("share record: subject %q is out of order", s.Name)
		}
		sum := int64(0)
		for j, p := range s.Parts {
			if p.Millionths <= 0 || p.Millionths > Whole || p.Epoch > r.Epoch {
				return fmt.Errorf("share record: subject %q has an invalid part of %q", s.Name, p.VM)
			}
			if j > 0 && s.Parts[j-1].VM >= p.VM {
				return fmt.Errorf("share record: subject %q has part of %q out of order", s.Name, p.VM)
			}
			sum += p.Millionths
		}
		if sum > Whole {
			return fmt.Errorf("share record: parts of subject %q sum to %d millionths", s.Name, sum)
		}
	}
	return nil
}

func (r Record) clone() Record {
	c := Record{Epoch: r.Epoch}
	for _, s := range r.Subjects {
		c.Subjects = append(c.Subjects, SubjectParts{
			Name:  s.Name,
			Parts: slices.Clone(s.Parts),
		})
	}
	return c
}

func (r Record) find(subject string) (int, bool) {
	return slices.BinarySearchFunc(r.Subjects, subject, func(s SubjectParts, name string) int {
		return cmp.Compare(s.Name, name)
	})
}

// set changes the part of a VM. A VM that becomes a holder gets a new epoch.
func (r *Record) set(subject, vm string, millionths int64) {
	at, found := r.find(subject)
	if !found {
		r.Subjects = slices.Insert(r.Subjects, at, SubjectParts{Name: subject})
	}
	parts := &r.Subjects[at].Parts
	i, held := slices.BinarySearchFunc(*parts, vm, func(p Part, name string) int {
		return cmp.Compare(p.VM, name)
	})
	switch {
	case held && millionths == 0:
		*parts = slices.Delete(*parts, i, i+1)
	case held:
		(*parts)[i].Millionths = millionths
	case millionths > 0:
		r.Epoch++
		*parts = slices.Insert(*parts, i, Part{
			VM:         vm,
			Millionths: millionths,
			Epoch:      r.Epoch,
		})
	}
}
