package platform

import (
	"encoding/json"
	"net/http"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"
)

// maxAdminBody is the maximum size of a request body in bytes. It is ample for the VM
// list of a full fleet.
const maxAdminBody = 4 << 20

// The paths of the admin pages.
const (
	CountersPath = "/admin/counters"
	FaultsPath   = "/admin/faults"
	VMsPath      = "/admin/vms"
)

// FaultsUpdate is a change of Faults. Fields that are nil stay unchanged.
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
		a.sendResponse(w, a.service.callCounters.snapshot())
	})
	mux.HandleFunc("GET "+FaultsPath, func(w http.ResponseWriter, _ *http.Request) {
		a.sendResponse(w, a.service.faults.get())
	})
	mux.HandleFunc("POST "+FaultsPath, a.setFaults)
	mux.HandleFunc("GET "+VMsPath, func(w http.ResponseWriter, _ *http.Request) {
		vms, _ := a.service.vms.get()
		a.sendResponse(w, VMList{VMs: vms})
	})
	mux.HandleFunc("POST "+VMsPath, a.setVMs)
}

func (a *admin) setFaults(w http.ResponseWriter, r *http.Request) {
	update := FaultsUpdate{}
	if !a.decodeRequest(w, r, &update) {
		return
	}
	faults, err := a.service.faults.set(update.apply)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	a.logger.Info("Faults changed.", "faults", faults)
	a.sendResponse(w, faults)
}

func (a *admin) setVMs(w http.ResponseWriter, r *http.Request) {
	list := VMList{}
	if !a.decodeRequest(w, r, &list) {
		return
	}
	a.service.vms.set(list)
	a.logger.Info("VM list changed.", "vms", len(list.VMs))
	a.sendResponse(w, list)
}

func (a *admin) decodeRequest(w http.ResponseWriter, r *http.Request, target any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAdminBody))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func (a *admin) sendResponse(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(value); err != nil {
		a.logger.Error(err, "Could not send the response of an admin page.")
	}
}

func (u FaultsUpdate) apply(faults *Faults) error {
	if u.Outage != nil {
		switch *u.Outage {
		case OutageFail, OutageHang, OutageOff:
		default:
			return eris.Errorf("invalid outage %q: must be fail, hang or off", *u.Outage)
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
