package view

import "amaranthdock.dev/decision/routing"

// homeWeights returns the weights with which VMs become homes, for those that state a size.
func (v *View) homeWeights() map[string]float64 {
	weights := map[string]float64{}
	for name, vm := range v.vms.Load().ByName {
		if weight := routing.HomeWeight(vm.Size.Cores, vm.Size.LinkMbps); weight > 0 {
			weights[name] = weight
		}
	}
	return weights
}
