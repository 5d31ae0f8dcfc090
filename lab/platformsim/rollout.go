package platformsim

import "encoding/json"

// RolloutOrder is what operators write to move a service to another version.
type RolloutOrder struct {
	Service  string  `json:"service"`
	Target   string  `json:"target_version"`
	Duration float64 `json:"duration_s"`
}

// RolloutStatus is what operators read of a roll-out.
type RolloutStatus struct {
	Target string `json:"target_version"`
	State  string `json:"state"`
}

// Order writes the operators' order.
func (s *Store) Order(order RolloutOrder) { s.PutJSON("op/rollout/"+order.Service, order) }

// RolloutStatus returns what the system wrote of the service's roll-out; it is empty if
// there is nothing.
func (s *Store) RolloutStatus(service string) RolloutStatus {
	var status RolloutStatus
	if content := s.Value("status/rollout/" + service); content != nil {
		if err := json.Unmarshal(content, &status); err != nil {
			return RolloutStatus{State: "unreadable: " + err.Error()}
		}
	}
	return status
}
