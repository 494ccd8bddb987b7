package peers

import (
	"cmp"
	"slices"
	"time"
)

// Actions of the changes in a delta.
const (
	actionAdded    = "ADDED"
	actionModified = "MODIFIED"
	actionDeleted  = "DELETED"
)

// maxExpiredPercent is the maximum share of leases, in percent, that may expire at once. Above this
// share, self-preservation keeps all instances.
const maxExpiredPercent = 15

// eurekaChange is a change in the delta, with a copy of the instance at the time of the change.
type eurekaChange struct {
	at       time.Time
	action   string
	instance EurekaInstance
}

// nowMs returns the Unix time of the registry's clock in milliseconds.
func (e *EurekaRegistry) nowMs() int64 { return time.Now().Add(e.clockSkew).UnixMilli() }

// Register adds an instance or replaces the instance with the same id, like a registration over HTTP.
// The previous override stays unless the new instance has an override.
func (e *EurekaRegistry) Register(instance EurekaInstance) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.register(instance)
}

// register does the work of Register. The caller must hold e.mu.
func (e *EurekaRegistry) register(instance EurekaInstance) {
	previous := e.instances[instance.ID]
	if previous == nil {
		e.ids = append(e.ids, instance.ID)
	}
	e.setTimes(&instance, previous)
	if previous != nil {
		instance.Override = cmp.Or(instance.Override, previous.Override)
	}
	instance.RenewalIntervalSeconds = cmp.Or(instance.RenewalIntervalSeconds, defaultRenewalIntervalSeconds)
	instance.LeaseDurationSeconds = cmp.Or(instance.LeaseDurationSeconds, defaultLeaseDurationSeconds)
	e.instances[instance.ID] = &instance
	e.recordChange(actionAdded, &instance)
}

// setTimes sets the times of a registration. previous is the instance that the registration replaces,
// or nil.
func (e *EurekaRegistry) setTimes(instance, previous *EurekaInstance) {
	setLastDirty(instance, previous)
	instance.LastUpdatedMs = e.nowMs()
	instance.renewedAt = time.Now()
	instance.registeredAtMs = e.nowMs()
	if previous != nil {
		instance.upSinceMs = previous.upSinceMs
		instance.registeredAtMs = previous.registeredAtMs
		instance.LastUpdatedMs = max(instance.LastUpdatedMs, previous.LastUpdatedMs+1)
	}
	if instance.upSinceMs == 0 && instance.Status == statusUp {
		instance.upSinceMs = e.nowMs()
	}
}

// setLastDirty sets LastDirtyMs of a registration without one, to a time later than the previous
// registration's.
func setLastDirty(instance, previous *EurekaInstance) {
	if instance.LastDirtyMs != 0 {
		return
	}
	instance.LastDirtyMs = time.Now().UnixMilli()
	if previous != nil {
		instance.LastDirtyMs = max(instance.LastDirtyMs, previous.LastDirtyMs+1)
	}
}

// recordChange increments the list's version and adds a change to the delta.
func (e *EurekaRegistry) recordChange(action string, instance *EurekaInstance) {
	e.version++
	e.delta = append(e.delta, eurekaChange{time.Now(), action, *instance})
}

// recordModified records that a registered instance was modified.
func (e *EurekaRegistry) recordModified(instance *EurekaInstance) {
	instance.LastUpdatedMs = max(e.nowMs(), instance.LastUpdatedMs+1)
	e.recordChange(actionModified, instance)
}

// Override sets an operator's status for an instance; "" removes it. It returns false if the id is
// unknown.
func (e *EurekaRegistry) Override(id, status string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	instance := e.instances[id]
	if instance == nil {
		return false
	}
	instance.Override = status
	e.recordModified(instance)
	return true
}

// Cancel removes an instance. It returns false if the id is unknown.
func (e *EurekaRegistry) Cancel(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cancel(id)
}

// cancel does the work of Cancel. The caller must hold e.mu.
func (e *EurekaRegistry) cancel(id string) bool {
	instance := e.instances[id]
	if instance == nil {
		return false
	}
	delete(e.instances, id)
	e.ids = slices.DeleteFunc(e.ids, func(other string) bool { return other == id })
	instance.LastUpdatedMs = max(e.nowMs(), instance.LastUpdatedMs+1)
	e.recordChange(actionDeleted, instance)
	return true
}

// evict removes old changes from the delta, and instances whose lease has expired. If there is more
// than one instance and more than maxExpiredPercent of the leases have expired, evict removes no
// instance (self-preservation).
func (e *EurekaRegistry) evict() {
	e.pruneDelta()
	if e.leaseDuration == 0 {
		return
	}
	expired := e.expiredIDs()
	tooMany := len(expired)*100 > len(e.instances)*maxExpiredPercent
	if tooMany && len(e.instances) > 1 {
		return
	}
	for _, id := range expired {
		e.cancel(id)
	}
}

// pruneDelta removes the changes that are older than deltaRetention.
func (e *EurekaRegistry) pruneDelta() {
	oldest := time.Now().Add(-deltaRetention)
	e.delta = slices.DeleteFunc(e.delta, func(change eurekaChange) bool { return change.at.Before(oldest) })
}

func (e *EurekaRegistry) expiredIDs() []string {
	var expired []string
	for id, instance := range e.instances {
		if time.Since(instance.renewedAt) > e.leaseDuration {
			expired = append(expired, id)
		}
	}
	return expired
}
