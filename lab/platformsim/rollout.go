package platformsim

import "encoding/json"

// RolloutOrder is the operators' order to move a service to another version.
type RolloutOrder struct {
	Service  string  `json:"service"`
	Target   string  `json:"target_version"`
	Duration float64 `json:"duration_s"`
}

// RolloutStatus is the status of a roll-out as operators read it.
type RolloutStatus struct {
	Target string `json:"target_version"`
	State  string `json:"state"`
}

// Order writes the order to the store.
func (s *Store) Order(order RolloutOrder) { s.PutJSON("op/rollout/"+order.Service, order) }

// RolloutStatus returns the status that the system wrote for the service's roll-out, or an empty one
// if there is none. If it can't be decoded, State says so.
func (s *Store) RolloutStatus(service string) RolloutStatus {
	var status RolloutStatus
	if content := s.Value("status/rollout/" + service); content != nil {
		if err := json.Unmarshal(content, &status); err != nil {
			return RolloutStatus{State: "unreadable: " + err.Error()}
		}
	}
	return status
}
