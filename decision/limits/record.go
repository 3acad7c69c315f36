package limits

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
)

// Share is the fraction of a subject's limit that one VM holds.
type Share struct {
	VM         string `json:"vm"`
	Millionths int64  `json:"millionths"`
	// Epoch is a new number each time the VM becomes a holder. The VM then starts
	// with an empty bucket.
	Epoch uint64 `json:"epoch"`
}

// ShareRecord is the durable assignment of all shares. It is stored as one value.
type ShareRecord struct {
	// Epoch is the highest epoch that any share has had.
	Epoch uint64 `json:"epoch"`
	// Subjects is sorted by name. A subject that was removed from the configuration
	// stays, because its holders may not have the new configuration yet.
	Subjects []SubjectShares `json:"subjects"`
}

// SubjectShares holds the shares of one subject, sorted by VM. They sum to at most
// TotalMillionths.
type SubjectShares struct {
	Name   string  `json:"name"`
	Shares []Share `json:"parts"`
}

// DecodeShareRecord decodes and validates a record. Empty data decodes to an empty
// record.
func DecodeShareRecord(data []byte) (ShareRecord, error) {
	var r ShareRecord
	if len(data) == 0 {
		return r, nil
	}
	if err := json.Unmarshal(data, &r); err != nil {
		return ShareRecord{}, fmt.Errorf("decode share record: %w", err)
	}
	if err := r.validate(); err != nil {
		return ShareRecord{}, err
	}
	return r, nil
}

// Encode returns the record as JSON.
func (r ShareRecord) Encode() ([]byte, error) {
	if err := r.validate(); err != nil {
		return nil, err
	}
	return json.Marshal(r)
}

// Share returns the share of a VM, or the zero Share if it holds none.
func (r ShareRecord) Share(subject, vm string) Share {
	for _, share := range r.Shares(subject) {
		if share.VM == vm {
			return share
		}
	}
	return Share{}
}

// Shares returns the shares of a subject.
func (r ShareRecord) Shares(subject string) []Share {
	at, found := r.find(subject)
	if !found {
		return nil
	}
	return r.Subjects[at].Shares
}

// validate returns an error if the record could admit more than a subject's limit
// or is not in canonical order.
func (r ShareRecord) validate() error {
	for i, s := range r.Subjects {
		if i > 0 && r.Subjects[i-1].Name >= s.Name {
			return fmt.Errorf("share record: subjects are not sorted at %q", s.Name)
		}
		sum := int64(0)
		for j, share := range s.Shares {
			if share.Millionths <= 0 || share.Millionths > TotalMillionths || share.Epoch > r.Epoch {
				return fmt.Errorf("share record: subject %q has an invalid share for VM %q", s.Name, share.VM)
			}
			if j > 0 && s.Shares[j-1].VM >= share.VM {
				return fmt.Errorf("share record: shares of subject %q are not sorted at VM %q", s.Name, share.VM)
			}
			sum += share.Millionths
		}
		if sum > TotalMillionths {
			return fmt.Errorf("share record: shares of subject %q sum to %d millionths", s.Name, sum)
		}
	}
	return nil
}

func (r ShareRecord) clone() ShareRecord {
	c := ShareRecord{Epoch: r.Epoch}
	for _, s := range r.Subjects {
		c.Subjects = append(c.Subjects, SubjectShares{
			Name:   s.Name,
			Shares: slices.Clone(s.Shares),
		})
	}
	return c
}

func (r ShareRecord) find(subject string) (int, bool) {
	return slices.BinarySearchFunc(r.Subjects, subject, func(s SubjectShares, name string) int {
		return cmp.Compare(s.Name, name)
	})
}

// setShare sets the share of a VM. A VM that becomes a holder gets a new epoch.
func (r *ShareRecord) setShare(subject, vm string, millionths int64) {
	at, found := r.find(subject)
	if !found {
		r.Subjects = slices.Insert(r.Subjects, at, SubjectShares{Name: subject})
	}
	shares := &r.Subjects[at].Shares
	i, held := slices.BinarySearchFunc(*shares, vm, func(share Share, name string) int {
		return cmp.Compare(share.VM, name)
	})
	switch {
	case held && millionths == 0:
		*shares = slices.Delete(*shares, i, i+1)
	case held:
		(*shares)[i].Millionths = millionths
	case millionths > 0:
		r.Epoch++
		*shares = slices.Insert(*shares, i, Share{
			VM:         vm,
			Millionths: millionths,
			Epoch:      r.Epoch,
		})
	}
}
