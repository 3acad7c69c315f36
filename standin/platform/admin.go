package platform

import (
	"encoding/json"
	"net/http"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"
)

// maxAdminBody in bytes bounds a VM list of the full fleet with room to spare.
const maxAdminBody = 4 << 20

// The admin pages.
const (
	CountersPath = "/admin/counters"
	FaultsPath   = "/admin/faults"
	VMsPath      = "/admin/vms"
)

// FaultsUpdate changes the faults that it names.
type FaultsUpdate struct {
	Outage       *Outage   `json:"outage,omitempty"`
	Delay        *Duration `json:"delay,omitempty"`
	LoseAnswers  *int      `json:"loseAnswers,omitempty"`
	StaleReads   *int      `json:"staleReads,omitempty"`
	MaxValueSize *int      `json:"maxValueSize,omitempty"`
}

type admin struct {
	service *service
	logger  logr.Logger
}

func (a *admin) register(mux *http.ServeMux) {
	mux.HandleFunc("GET "+CountersPath, func(w http.ResponseWriter, _ *http.Request) {
		a.write(w, a.service.calls.snapshot())
	})
	mux.HandleFunc("GET "+FaultsPath, func(w http.ResponseWriter, _ *http.Request) {
		a.write(w, a.service.faults.get())
	})
	mux.HandleFunc("POST "+FaultsPath, a.setFaults)
	mux.HandleFunc("GET "+VMsPath, func(w http.ResponseWriter, _ *http.Request) {
		vms, _ := a.service.vms.get()
		a.write(w, VMList{VMs: vms})
	})
	mux.HandleFunc("POST "+VMsPath, a.setVMs)
}

func (a *admin) setFaults(w http.ResponseWriter, r *http.Request) {
	update := FaultsUpdate{}
	if !a.read(w, r, &update) {
		return
	}
	faults, err := a.service.faults.set(update.apply)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	a.logger.Info("Faults changed.", "faults", faults)
	a.write(w, faults)
}

func (a *admin) setVMs(w http.ResponseWriter, r *http.Request) {
	list := VMList{}
	if !a.read(w, r, &list) {
		return
	}
	a.service.vms.set(list)
	a.logger.Info("VM list changed.", "vms", len(list.VMs))
	a.write(w, list)
}

func (a *admin) read(w http.ResponseWriter, r *http.Request, target any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAdminBody))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func (a *admin) write(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(value); err != nil {
		a.logger.Error(err, "The admin answer was not sent.")
	}
}

func (u FaultsUpdate) apply(faults *Faults) error {
	if u.Outage != nil {
		switch *u.Outage {
		case OutageFail, OutageHang, OutageOff:
		default:
			return eris.Errorf("the outage %q is not fail, hang or off", *u.Outage)
		}
		faults.Outage = *u.Outage
	}
	if u.Delay != nil {
		faults.Delay = *u.Delay
	}
	if u.LoseAnswers != nil {
		faults.LoseAnswers = *u.LoseAnswers
	}
	if u.StaleReads != nil {
		faults.StaleReads = *u.StaleReads
	}
	if u.MaxValueSize != nil {
		faults.MaxValueSize = *u.MaxValueSize
	}
	return nil
}
