package org.jujubefork.core.workflow;

/** Forecasts the free capacity after a placement pass. */
@FunctionalInterface
interface ForecastModel {
    /**
     * Returns the forecast that replaces the one in {@code state}.
     *
     * @param state the state after the pass
     * @param remainder what the pass has left over
     */
    RoomForecast forecast(WorkflowState state, PassRemainder remainder);
}
