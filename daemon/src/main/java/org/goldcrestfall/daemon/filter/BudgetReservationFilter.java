package org.goldcrestfall.daemon.filter;

import java.util.concurrent.CompletionStage;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.goldcrestfall.daemon.budget.Budgets;

/** Reserves the highest possible price of a request before anything is sent to an upstream. */
public final class BudgetReservationFilter implements RequestFilter {

  private final Budgets budgets;

  /** Creates the filter. */
  public BudgetReservationFilter(Budgets budgets) {
    this.budgets = budgets;
  }

  @Override
  public CompletionStage<HttpResponse> apply(RequestContext c, Next next) {
    return budgets
        .reserve(c.workspace().name(), maxPriceTokens(c))
        .thenCompose(
            r -> {
              c.setReservation(r);
              return next.proceed(c);
            });
  }

  private static long maxPriceTokens(RequestContext c) {
    if (!c.isChat()) {
      return c.serviceCall().service().priceTokens();
    }
    return c.patience().price(c.chat().promptTokenBound() + c.chat().maxTokens());
  }
}
