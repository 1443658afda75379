"""Schedules waiting jobs: which are ordered next, and which are refused."""

from collections import abc
import functools
import random

from ferryledge.leases import _admission
from ferryledge.leases import _arrivals
from ferryledge.leases import _entry_notes
from ferryledge.leases import _forecast
from ferryledge.leases import _job_ranking
from ferryledge.leases import _job_table
from ferryledge.leases import _jobs
from ferryledge.leases import _late_jobs
from ferryledge.leases import _placement
from ferryledge.leases import _pool
from ferryledge.leases import _pool_share
from ferryledge.leases import _run_tracker
from ferryledge.leases import _uplink
from ferryledge.leases import _urgency_reports
from ferryledge import outcomes
from ferryledge import wire

_NEVER = float("inf")

Refusals = abc.Iterator[tuple[_jobs.Job, outcomes.Refused]]


class Scheduler:
    """Orders runs of waiting jobs as the pool and the link have capacity.

    :param name: the name of this entry
    :param jobs: the jobs that this entry holds
    :param pool: the agents that this entry knows
    :param runs: orders runs
    :param placer: chooses endpoints
    :param link: the network link of this entry
    :param rng: spreads the retry delays of refused clients
    :param ranking: the order of waiting jobs
    :param notes: logs decisions
    """

    def __init__(
        self,
        name: str,
        jobs: _job_table.JobTable,
        pool: _pool.Pool,
        runs: _run_tracker.RunTracker,
        placer: _placement.Placer,
        link: _uplink.Uplink,
        rng: random.Random,
        ranking: _job_ranking.JobRanking,
        notes: _entry_notes.EntryNotes,
    ) -> None:
        self._job_ranking = ranking
        self._notes = notes
        self._jobs = jobs
        self._pool = pool
        self._runs = runs
        self._placer = placer
        self._link = link
        self._pool_share = _pool_share.PoolShare(link)
        self._arrivals = _arrivals.Arrivals()
        self._urgency_reports = _urgency_reports.UrgencyReports(link)
        #: When to report to agents how urgent the waiting jobs are.
        self._report_at = _NEVER
        #: When the link is free for orders that wait for it.
        self._place_at = _NEVER
        self.admission = _admission.Admission(
            name, pool, self._pool_share, link, rng, ranking.rules
        )

    @property
    def due_at(self) -> float:
        """When the next placement or report to agents is due."""
        return min(self._report_at, self._place_at)

    def note_arrival(self, now: float, job: _jobs.Job) -> None:
        """Record the arrival of an admitted job."""
        job_class = job.request.job_class
        job.is_scheduled_retry = self.admission.retry_schedule.claim(
            now, job.name
        )
        slack_s = job.start_by - now
        self._arrivals.note(
            now, job_class.name, job_class.service, job.work, slack_s
        )

    def forecast(
        self, now: float, job: _jobs.Job
    ) -> _forecast.Forecast | None:
        """Return the forecast of a job that is held here or offered.

        :param now: monotonic seconds
        :param job: the job
        :return: the forecast, or ``None`` while lost agents are likely to come
            back soon
        """
        if self._pool.may_recover(now):
            return None
        service = job.request.job_class.service
        start_interval_s = self._pool_share.start_interval_s
        key = self._job_ranking.key(now, job, start_interval_s)
        ahead = sum(
            other.waiting_work()
            for other in self._jobs.waiting
            if other is not job
            and other.request.job_class.service == service
            and self._job_ranking.key(now, other, start_interval_s) < key
        )
        return self._forecaster(now, service).forecast_on_time(
            job.demand, ahead
        )

    def review(self, now: float) -> Refusals:
        """Yield the waiting jobs to refuse, with the refusals.

        The caller answers each job before it takes the next one.

        :param now: monotonic seconds
        """
        undispatched = self._job_ranking.sort(
            now, self._jobs.undispatched, self._pool_share.start_interval_s
        )
        ahead = self._dispatched_work()
        pool_cores = self._pool.capacity_cores(now)
        self._pool_share.update(
            now, pool_cores, self._pool.sharing_entries(now)
        )
        deferrable = [job for job in undispatched if self._may_be_late(job)]
        for job in undispatched:
            if self._may_be_late(job):
                continue
            service = job.request.job_class.service
            work = ahead.get(service, 0.0)
            refusal = self.admission.review(now, job, work)
            if refusal is None:
                ahead[service] = work + job.work
            else:
                yield job, refusal
        for service in {job.request.job_class.service for job in deferrable}:
            yield from self._review_deferrable(
                now, service, deferrable, ahead.get(service, 0.0)
            )

    def _may_be_late(self, job: _jobs.Job) -> bool:
        return self._job_ranking.rules.late_answers and job.may_be_late

    def _review_deferrable(
        self,
        now: float,
        service: str,
        deferrable: list[_jobs.Job],
        ahead: float,
    ) -> Refusals:
        """Yield the jobs of a service whose answer would come too late.

        :param now: monotonic seconds
        :param service: the service
        :param deferrable: jobs of all services that are of use when late
        :param ahead: core-seconds of work that is placed before them
        """
        jobs = [
            job
            for job in deferrable
            if job.request.job_class.service == service
        ]
        jobs.sort(
            key=lambda job: self._job_ranking.virtual_deadline(
                job, self._pool_share.start_interval_s
            )
        )
        forecaster = self._forecaster(now, service)
        forecasts = _late_jobs.forecast_jobs(
            now,
            forecaster,
            [
                _late_jobs.WaitingJob(
                    number, job.demand, job.is_scheduled_retry
                )
                for number, job in enumerate(jobs)
            ],
            ahead,
            self._job_ranking.rules.largest_late,
        )
        too_late: list[_jobs.Job] = []
        for number, job in enumerate(jobs):
            self._store_forecast(now, job, forecasts[number])
            if forecasts[number].prospect is _forecast.Prospect.TOO_LATE:
                too_late.append(job)
            else:
                ahead += job.work
        for job in too_late:
            refusal = self.admission.refuse_if_too_late(
                now, job, functools.partial(forecaster.queueing_delay, ahead)
            )
            if refusal is not None:
                yield job, refusal

    def _store_forecast(
        self, now: float, job: _jobs.Job, forecast: _forecast.Forecast
    ) -> None:
        """Store the forecast of a job, and count whether it is deferred."""
        was_deferred = job.is_deferred
        job.forecast = forecast
        direction = was_deferred - job.is_deferred
        if direction:
            self._arrivals.move(now, job.request.job_class.name, direction)
        if not was_deferred and forecast.prospect is _forecast.Prospect.LATE:
            self._notes.deferred(now, job, forecast)

    def _forecaster(self, now: float, service: str) -> _forecast.Forecaster:
        """Return the forecaster for the jobs of a service."""
        inflow = self._arrivals.inflow(now, service)
        return _forecast.Forecaster(
            now, self._expected_capacity(now, service), inflow
        )

    def _expected_capacity(
        self, now: float, service: str
    ) -> _forecast.AvailableCapacity:
        """Return the cores that this entry is expected to get."""
        link_wait_s = self._link.wait_s(now)
        pool_cores = self._pool.capacity_cores(now, service)
        if not pool_cores:
            return _forecast.AvailableCapacity(0.0, link_wait_s=link_wait_s)
        sharing_entries = self._pool.sharing_entries(now, service)
        cores = self._pool_share.cores(now, pool_cores, sharing_entries)
        # Cores that come or go are shared like the rest of the pool.
        share = cores / pool_cores
        change = _forecast.CapacityChange
        leaving = self._pool.leaving_cores(now, service)
        returning = self._pool.returning_cores(now, service)
        return _forecast.AvailableCapacity(
            cores,
            self._pool.free_cores(now, service),
            (
                *(change(in_s, -share * lost) for in_s, lost in leaving),
                *(
                    change(in_s, share * regained)
                    for in_s, regained in returning
                ),
            ),
            link_wait_s,
        )

    def _dispatched_work(self) -> dict[str, float]:
        """Return the waiting core-seconds of dispatched jobs, by service."""
        work: dict[str, float] = {}
        for job in self._jobs.waiting:
            if job.is_dispatched:
                service = job.request.job_class.service
                work[service] = work.get(service, 0.0) + job.waiting_work()
        return work

    def is_link_free(self, now: float) -> bool:
        """Return whether orders waited for the link and it is free now."""
        return now >= self._place_at

    def place(self, now: float) -> None:
        """Order runs of waiting jobs where there is free capacity."""
        waiting = self._jobs.waiting
        self._order_all(now, waiting)
        still_waiting = [job for job in waiting if job.waiting]
        self._place_at = _NEVER
        if still_waiting and not self._link.is_free(now):
            # The jobs wait for the link, not for agents: no report is needed.
            self._place_at = self._link.free_at(now)
            return
        if self._job_ranking.rules.urgency_reports:
            virtual_deadline = self._job_ranking.earliest_deadline(
                now, still_waiting, self._pool_share.start_interval_s
            )
            self._report_at = self._urgency_reports.due_at(virtual_deadline)

    def _order_all(self, now: float, waiting: list[_jobs.Job]) -> None:
        """Order runs where there is free capacity, until the link is busy.

        An order that waits at the link for longer than a grant lasts would be
        turned down, and would have to be repeated. Without the bound, hardly
        any job is completed once the load exceeds what the link carries.
        """
        if not self._link.is_free(now):
            return
        start_interval_s = self._pool_share.start_interval_s
        for placement in self._placer.place(now, waiting, start_interval_s):
            size = self._runs.order(
                now, placement.job, placement.row, placement.tasks
            )
            count = len(placement.tasks)
            self._pool_share.note_started(now, placement.work, count, size)
            if not self._link.is_free(now):
                return

    def due_urgency_reports(
        self, now: float
    ) -> abc.Iterator[tuple[_pool.AgentRow, wire.UrgencyReport]]:
        """Yield the due reports to agents on how urgent waiting jobs are."""
        if now < self._report_at:
            return
        self._report_at = _NEVER
        waiting = self._jobs.waiting
        virtual_deadline = self._job_ranking.earliest_deadline(
            now, waiting, self._pool_share.start_interval_s
        )
        yield from self._urgency_reports.make_reports(
            now, virtual_deadline, self._pool
        )
